//! `damaskstile-measure` measures: policies over the decision logic, and running processes.

mod budgets;
mod claims;
mod load;
mod members;
mod targets;

use clap::{Parser, Subcommand};

/// Measures a damaskstile fleet.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compares policies for the last tokens of a budget, as a table. The same seed gives the
    /// same table.
    Budgets(budgets::BudgetsArgs),
    /// Measures what non-idempotent requests cost the store, as a table.
    Claims(claims::ClaimsArgs),
    /// Compares ways to choose a target, as a table.
    Targets(targets::TargetsArgs),
    /// Measures what membership and configuration cost at several sizes, as a table.
    Members(members::MembersArgs),
    /// Sends requests through running instances and compares bills with what targets ran.
    Load(load::LoadArgs),
}

fn main() -> anyhow::Result<()> {
    match Args::parse().command {
        Command::Budgets(args) => budgets::run(&args),
        Command::Claims(args) => {
            claims::run(&args);
            Ok(())
        }
        Command::Targets(args) => {
            targets::run(&args);
            Ok(())
        }
        Command::Members(args) => {
            members::run(&args);
            Ok(())
        }
        Command::Load(args) => load::run(args),
    }
}
