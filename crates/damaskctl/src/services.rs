//! Commands that define and list services.

use clap::{Subcommand, ValueEnum};
use damaskstile::fleet::settings::{ServiceKind, ServiceSettings};

use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;
use crate::tree;

/// Kinds of services, as values of `--kind`.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum Kind {
    /// Model engines.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// Commands for services.
#[derive(Debug, Subcommand)]
pub enum ServiceCommand {
    /// Defines a service, or replaces its definition.
    Set {
        /// Name of the service.
        name: String,
        /// Kind of the service's targets.
        #[arg(long, value_enum, default_value = "model")]
        kind: Kind,
        /// Price of a call to a plain service, in tokens.
        #[arg(long, default_value_t = 1)]
        price_tokens: u64,
        /// Marks the service's calls as non-idempotent: they must never run twice.
        #[arg(long)]
        non_idempotent: bool,
    },
    /// Lists the services.
    List,
}

/// Runs a `service` subcommand.
pub async fn run(context: &Context, command: ServiceCommand) -> Result<(), Failure> {
    let mut tree = tree::read(context).await?;
    match command {
        ServiceCommand::Set {
            name,
            kind,
            price_tokens,
            non_idempotent,
        } => {
            let kind = match kind {
                Kind::Model => ServiceKind::Model,
                Kind::Plain => ServiceKind::Plain,
            };
            let service = ServiceSettings {
                kind,
                price_tokens,
                is_non_idempotent: non_idempotent,
                can_resume: kind == ServiceKind::Model,
            };
            tree.settings.service.insert(name.clone(), service);
            let text = tree.settings.to_toml()?;
            tree::write(context, &tree, text, &format!("set service {name}")).await?;
            Ok(())
        }
        ServiceCommand::List => {
            let mut table = Table::new(&["service", "kind", "price_tokens", "non_idempotent"]);
            for (name, service) in &tree.settings.service {
                let kind = format!("{:?}", service.kind).to_lowercase();
                table.row(&[
                    name,
                    &kind,
                    &service.price_tokens,
                    &service.is_non_idempotent,
                ]);
            }
            context.print(&tree.settings.service, &table)
        }
    }
}
