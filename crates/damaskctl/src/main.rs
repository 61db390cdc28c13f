//! `damaskctl` is the operators' command line.

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
/// Exit codes: 0 done, 1 refused input, 2 wrong usage, 3 another operator was faster,
/// 4 the platform or an instance gave no answer, 5 not found, 6 differences or broken statements.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the platform, as IP and port.
    #[arg(long, env = "DAMASKSTILE_PLATFORM", default_value = "127.0.0.1:8500")]
    platform: String,
    /// Name that changes are signed with.
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
    /// The tree of settings.
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
    /// Tells from logs what became of a call, with what its instance believed then; or where
    /// budgets and time went.
    Explain(explain::ExplainArgs),
    /// Replays a recorded trace against its stated outcomes.
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
