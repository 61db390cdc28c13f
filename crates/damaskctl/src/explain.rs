//! `explain` finds out from the logs of instances what became of a call, of budgets and of time.

mod budgets;
mod call;
mod contents;
mod counts;
mod latency;
mod lenders;
mod lines;
mod load;
mod places;
mod store;
mod traffic;

use std::path::PathBuf;

use clap::{Args, Subcommand};

use crate::context::Context;
use crate::exit::Failure;

/// Arguments of `explain`: a call's id with logs, or one of the tables.
#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct ExplainArgs {
    /// The caller's id of the call.
    #[arg(required = true)]
    id: Option<String>,
    /// Files with the logs of instances.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    #[command(subcommand)]
    table: Option<ExplainTable>,
}

/// `ExplainTable` is a table made of all lines.
#[derive(Debug, Subcommand)]
enum ExplainTable {
    /// Where the tokens of each account went.
    Budgets {
        /// Files with the logs of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Under which contents targets ended, and which of them were refused.
    Contents {
        /// Files with the logs of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Who lent the tokens of each account, when first and last, and who asked in vain.
    Lenders {
        /// Files with the logs of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Which instances got more than they bear, for how long, and what they were busy with.
    Load {
        /// Files with the logs of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Which data centres were emptied, since when, and which targets were cold.
    Places {
        /// Files with the logs of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Bytes that instances sent to each other, by what they were for.
    Traffic {
        /// Files with the logs of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Calls to the store, by what they were for and how they ended.
    Store {
        /// Files with the logs of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// How long callers waited on each route, and what ran at their targets then.
    Latency {
        /// Files with the logs of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
}

/// Prints what was asked for.
///
/// # Errors
///
/// Returns what could not be read; what could was printed before.
pub fn run(context: &Context, args: &ExplainArgs) -> Result<(), Failure> {
    let (Some(id), None) = (&args.id, &args.table) else {
        return match &args.table {
            Some(ExplainTable::Budgets { logs }) => budgets::run(context, logs),
            Some(ExplainTable::Contents { logs }) => contents::run(context, logs),
            Some(ExplainTable::Lenders { logs }) => lenders::run(context, logs),
            Some(ExplainTable::Load { logs }) => load::run(context, logs),
            Some(ExplainTable::Places { logs }) => places::run(context, logs),
            Some(ExplainTable::Traffic { logs }) => traffic::run(context, logs),
            Some(ExplainTable::Store { logs }) => store::run(context, logs),
            Some(ExplainTable::Latency { logs }) => latency::run(context, logs),
            None => Err(Failure::Refused("no id of a call".to_owned())),
        };
    };
    call::run(context, id, &args.logs)
}
