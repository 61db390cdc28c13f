//! Command-line tool for operators of a damaskstile fleet.

mod accounts;
mod audit;
mod bills;
mod budgets;
mod context;
mod exit;
mod explain;
mod instances;
mod requests;
mod services;
mod settings;
mod table;
mod targets;
mod tree;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::context::Context;
use crate::exit::Failure;

/// Manages a damaskstile fleet.
///
/// Exit codes: 0 success, 1 input refused, 2 wrong usage, 3 conflict with another operator's change,
/// 4 no usable answer from the platform, an instance or a target, 5 not found, 6 differences or
/// inconsistent data found, or expectations of a trace not met.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the platform, as IP and port.
    #[arg(long, env = "DAMASKSTILE_PLATFORM", default_value = "127.0.0.1:8500")]
    platform: String,
    /// Name recorded as the author of changes.
    #[arg(long, env = "USER", default_value = "operator")]
    author: String,
    /// Prints JSON instead of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Client accounts.
    #[command(subcommand)]
    Account(accounts::AccountCommand),
    /// Prepaid budgets.
    #[command(subcommand)]
    Budget(budgets::BudgetCommand),
    /// Services.
    #[command(subcommand)]
    Service(services::ServiceCommand),
    /// Settings of the fleet.
    #[command(subcommand)]
    Settings(settings::SettingsCommand),
    /// Targets.
    #[command(subcommand)]
    Target(targets::TargetCommand),
    /// Instances of the fleet.
    #[command(subcommand)]
    Instance(instances::InstanceCommand),
    /// Single requests.
    #[command(subcommand)]
    Request(requests::RequestCommand),
    /// Bills.
    #[command(subcommand)]
    Bill(bills::BillCommand),
    /// Shows from log files the course of a call, with the state that its instance acted on, or a
    /// table such as the use of budgets or latencies.
    Explain(explain::ExplainArgs),
    /// Replays a recorded trace and checks the expectations stated in it.
    Replay {
        /// File with the trace.
        trace: PathBuf,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    let context = Context::new(&args.platform, &args.author, args.json);
    match run(&context, args.command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("damaskctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run(context: &Context, command: Command) -> Result<(), Failure> {
    match command {
        Command::Account(command) => accounts::run(context, command).await,
        Command::Budget(command) => budgets::run(context, command).await,
        Command::Service(command) => services::run(context, command).await,
        Command::Settings(command) => settings::run(context, command).await,
        Command::Target(command) => targets::run(context, command).await,
        Command::Instance(command) => instances::run(context, command).await,
        Command::Request(command) => requests::run(context, command).await,
        Command::Bill(command) => bills::run(context, command).await,
        Command::Explain(args) => explain::run(context, &args),
        Command::Replay { trace } => requests::replay(context, &trace),
    }
}
