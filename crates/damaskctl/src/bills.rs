//! Commands that list and audit the bills of budgets.

use clap::Subcommand;
use damaskstile::budgets::{Entry, Ledger};
use damaskstile::keys::page_key;

use crate::audit;
use crate::budgets;
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Commands for bills.
#[derive(Debug, Subcommand)]
pub enum BillCommand {
    /// Lists the bills of a budget.
    List {
        /// Name of the budget.
        budget: String,
        /// Also shows runs that were not billed because another run of the same request was.
        #[arg(long)]
        all: bool,
    },
    /// Compares bills, settled sums and grants, and lists every difference.
    Audit {
        /// Name of the budget; all budgets if omitted.
        budget: Option<String>,
    },
}

/// Runs a `bill` subcommand.
pub async fn run(context: &Context, command: BillCommand) -> Result<(), Failure> {
    match command {
        BillCommand::List { budget, all } => list(context, &budget, all).await,
        BillCommand::Audit { budget } => audit_budgets(context, budget).await,
    }
}

/// Reads all entries of a budget: first those in stored pages, then those still in the ledger.
///
/// # Errors
///
/// Returns [`Failure::Different`] if a page that the ledger counts is missing from the store.
pub async fn entries(
    context: &Context,
    budget: &str,
    ledger: &Ledger,
) -> Result<Vec<Entry>, Failure> {
    let mut entries = Vec::new();
    for page in 0..ledger.next_page {
        let object = context.platform.read(&page_key(budget, page)).await?;
        let object = object.ok_or_else(|| {
            Failure::Different(format!(
                "budget {budget}: page {page} of its bills is missing from the store"
            ))
        })?;
        let page: Vec<Entry> = serde_json::from_str(&object.value)?;
        entries.extend(page);
    }
    entries.extend(ledger.entries.iter().cloned());
    Ok(entries)
}

async fn list(context: &Context, budget: &str, is_all: bool) -> Result<(), Failure> {
    let (_, ledger) = budgets::read(context, budget).await?;
    let entries: Vec<Entry> = entries(context, budget, &ledger)
        .await?
        .into_iter()
        .filter(|entry| is_all || entry.is_billed)
        .collect();
    let mut table = Table::new(&[
        "at_unix_ms",
        "account",
        "key",
        "target",
        "prompt",
        "output",
        "billed",
    ]);
    for entry in &entries {
        table.row(&[
            &entry.at_unix_ms,
            &entry.account,
            &entry.key,
            &entry.target,
            &entry.prompt_tokens,
            &entry.output_tokens,
            &entry.is_billed,
        ]);
    }
    context.print(&entries, &table)
}

async fn audit_budgets(context: &Context, budget: Option<String>) -> Result<(), Failure> {
    let names = match budget {
        Some(budget) => vec![budget],
        None => context
            .platform
            .list("budgets/")
            .await?
            .into_iter()
            .map(|listed| listed.key.trim_start_matches("budgets/").to_owned())
            .collect(),
    };
    let mut table = Table::new(&["budget", "difference"]);
    let mut found = Vec::new();
    for name in names {
        let (_, ledger) = budgets::read(context, &name).await?;
        let entries = entries(context, &name, &ledger).await?;
        for difference in audit::differences(&ledger, &entries) {
            table.row(&[&name, &difference]);
            found.push((name.clone(), difference));
        }
    }
    if found.is_empty() {
        println!("no differences");
        return Ok(());
    }
    context.print(&found, &table)?;
    Err(Failure::Different(format!("{} differences", found.len())))
}
