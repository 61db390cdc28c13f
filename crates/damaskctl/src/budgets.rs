//! Commands that create, top up and show prepaid budgets.

use clap::Subcommand;
use damaskstile::budgets::Ledger;
use damaskstile::core::prelude::*;
use damaskstile::keys::ledger_key;
use serde_json::json;

use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Maximum number of attempts at a top-up. An attempt fails if an instance writes to the ledger
/// between the read and the write, or if the answer is lost.
const ATTEMPTS_MAX: u32 = 50;

/// Commands for budgets.
#[derive(Debug, Subcommand)]
pub enum BudgetCommand {
    /// Creates a budget.
    Create {
        /// Name of the budget.
        name: String,
        /// Initial number of prepaid tokens.
        #[arg(long, default_value_t = 0)]
        tokens: u64,
    },
    /// Adds prepaid tokens.
    TopUp {
        /// Name of the budget.
        name: String,
        /// Tokens to add.
        #[arg(long)]
        tokens: u64,
        /// Id of the payment. Repeating a top-up with the same id adds nothing.
        #[arg(long)]
        id: String,
    },
    /// Shows the tokens of a budget: topped up, settled, held (by instance) and free.
    Show {
        /// Name of the budget.
        name: String,
    },
    /// Lists the budgets.
    List,
}

/// Runs a `budget` subcommand.
pub async fn run(context: &Context, command: BudgetCommand) -> Result<(), Failure> {
    match command {
        BudgetCommand::Create { name, tokens } => create(context, &name, tokens).await,
        BudgetCommand::TopUp { name, tokens, id } => top_up(context, &name, tokens, &id).await,
        BudgetCommand::Show { name } => show(context, &name).await,
        BudgetCommand::List => list(context).await,
    }
}

/// Reads the ledger of a budget, with its version in the store.
pub async fn read(context: &Context, name: &str) -> Result<(Version, Ledger), Failure> {
    let object = context.platform.read(&ledger_key(name)).await?;
    let object = object.ok_or_else(|| Failure::NotFound(format!("budget {name}")))?;
    let ledger = Ledger::try_from_json(&object.value)
        .map_err(|error| Failure::Different(format!("budget {name}: {error}")))?;
    Ok((object.version, ledger))
}

async fn create(context: &Context, name: &str, tokens: u64) -> Result<(), Failure> {
    let mut ledger = Ledger::default();
    if tokens > 0 {
        ledger.top_up("create", tokens);
    }
    let value = to_json(&ledger)?;
    match context.platform.write(&ledger_key(name), 0, value).await? {
        StoreAnswer::Written { .. } => {
            println!("created");
            Ok(())
        }
        _ => Err(Failure::Refused(format!("budget {name} already exists"))),
    }
}

fn to_json(ledger: &Ledger) -> Result<String, Failure> {
    ledger
        .to_json()
        .map_err(|error| Failure::Refused(error.to_string()))
}

async fn top_up(context: &Context, name: &str, tokens: u64, id: &str) -> Result<(), Failure> {
    for _ in 0..ATTEMPTS_MAX {
        let (version, mut ledger) = read(context, name).await?;
        // If the answer to an earlier attempt was lost, the ledger shows whether that attempt took
        // effect: it then contains the id of the payment.
        if !ledger.top_up(id, tokens) {
            println!("top-up {id} has already been applied");
            return Ok(());
        }
        let value = to_json(&ledger)?;
        let answer = context
            .platform
            .write(&ledger_key(name), version, value)
            .await;
        if let Ok(StoreAnswer::Written { .. }) = answer {
            println!("topped up to {}", ledger.topped_up_tokens);
            return Ok(());
        }
    }
    Err(Failure::NoAnswer(format!(
        "top-up {id}: not confirmed after {ATTEMPTS_MAX} attempts; repeat the command with the same id"
    )))
}

async fn show(context: &Context, name: &str) -> Result<(), Failure> {
    let (version, ledger) = read(context, name).await?;
    let mut held: BTreeMap<&str, u64> = BTreeMap::new();
    for grant in ledger.grants.values() {
        *held.entry(&grant.holder).or_default() += grant.outstanding_tokens();
    }
    let mut table = Table::new(&["budget", "topped_up", "settled", "held", "free", "bills"]);
    table.row(&[
        &name,
        &ledger.topped_up_tokens,
        &ledger.settled_tokens,
        &ledger.outstanding_tokens(),
        &ledger.free_tokens(),
        &ledger.bills,
    ]);
    for (holder, tokens) in &held {
        table.row(&[&"", &"", &"", tokens, &"", &format!("held by {holder}")]);
    }
    let value = json!({
        "budget": name,
        "version": version,
        "topped_up_tokens": ledger.topped_up_tokens,
        "settled_tokens": ledger.settled_tokens,
        "billed_tokens": ledger.billed_tokens,
        "held_tokens": ledger.outstanding_tokens(),
        "free_tokens": ledger.free_tokens(),
        "bills": ledger.bills,
        "held_by": held,
    });
    context.print(&value, &table)
}

async fn list(context: &Context) -> Result<(), Failure> {
    let mut table = Table::new(&["budget", "topped_up", "settled", "held", "free"]);
    let mut values = Vec::new();
    for listed in context.platform.list("budgets/").await? {
        let name = listed.key.trim_start_matches("budgets/");
        let (_, ledger) = read(context, name).await?;
        table.row(&[
            &name,
            &ledger.topped_up_tokens,
            &ledger.settled_tokens,
            &ledger.outstanding_tokens(),
            &ledger.free_tokens(),
        ]);
        values.push(json!({"budget": name, "free_tokens": ledger.free_tokens()}));
    }
    context.print(&values, &table)
}
