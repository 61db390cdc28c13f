//! `damaskstile-measure` measures: policies over the decision logic, and running processes.

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
    /// Sends requests through running instances and compares bills with what targets ran.
    Load(load::LoadArgs),
}

fn main() -> anyhow::Result<()> {
    match Args::parse().command {
        Command::Load(args) => load::run(args),
    }
}
