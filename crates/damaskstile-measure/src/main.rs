//! `damaskstile-measure` measures: policies over the decision logic, and running processes.

mod budgets;
mod load;

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
    /// Sends requests through running instances and compares bills with what targets ran.
    Load(load::LoadArgs),
}

fn main() -> anyhow::Result<()> {
    match Args::parse().command {
        Command::Budgets(args) => budgets::run(&args),
        Command::Load(args) => load::run(args),
    }
}
