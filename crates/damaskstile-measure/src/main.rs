//! Measurements of a fleet: simulations that compare policies and costs, and a load generator for
//! running instances.

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
    /// Compares policies for a nearly exhausted budget under faults, as a table. The same seed
    /// gives the same table.
    Budgets(budgets::BudgetsArgs),
    /// Measures the store load of non-idempotent requests, as a table.
    Claims(claims::ClaimsArgs),
    /// Compares target selection policies, as a table.
    Targets(targets::TargetsArgs),
    /// Measures the cost of membership and the spread of settings at several fleet sizes, as a
    /// table.
    Members(members::MembersArgs),
    /// Sends requests through running instances and compares the bills with the runs at the
    /// targets.
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
