//! Analysis of the logs of instances: the course of one call, or tables over all lines (token use,
//! latency, load and others).

mod budgets;
mod call;
mod contents;
mod copies;
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

/// Arguments of `explain`: either the id of a call and log files, or one of the tables.
#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct ExplainArgs {
    /// Id of the call, as given by the caller.
    #[arg(required = true)]
    id: Option<String>,
    /// Log files of instances.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    #[command(subcommand)]
    table: Option<ExplainTable>,
}

/// Tables that are computed over all log lines.
#[derive(Debug, Subcommand)]
enum ExplainTable {
    /// How the tokens of each account were used.
    Budgets {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Request contents under which targets crashed, and which of them were quarantined.
    Contents {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Runs by route that had copies at second targets, and what became of them after crashes.
    Copies {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Which instances lent tokens of each account, when first and last, and how often instances
    /// were asked in vain.
    Lenders {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Which instances were overloaded, for how long, what they spent their time on, and which calls
    /// they rejected, by priority.
    Load {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Which data centres were evacuated, and which targets were cold or advertised a limit, in the
    /// order of time.
    Places {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Bytes that instances sent to each other, by purpose.
    Traffic {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Calls of instances to the store, by kind and outcome.
    Store {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// How long callers waited on each route, and what their targets ran meanwhile.
    Latency {
        /// Log files of instances.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
}

/// Prints the lines on a call, or a table.
///
/// # Errors
///
/// Returns a list of the files and lines that could not be read; the output from the others was
/// printed before. Returns [`Failure::NotFound`] if no line has the id of the call.
pub fn run(context: &Context, args: &ExplainArgs) -> Result<(), Failure> {
    let (Some(id), None) = (&args.id, &args.table) else {
        return match &args.table {
            Some(ExplainTable::Budgets { logs }) => budgets::run(context, logs),
            Some(ExplainTable::Contents { logs }) => contents::run(context, logs),
            Some(ExplainTable::Copies { logs }) => copies::run(context, logs),
            Some(ExplainTable::Lenders { logs }) => lenders::run(context, logs),
            Some(ExplainTable::Load { logs }) => load::run(context, logs),
            Some(ExplainTable::Places { logs }) => places::run(context, logs),
            Some(ExplainTable::Traffic { logs }) => traffic::run(context, logs),
            Some(ExplainTable::Store { logs }) => store::run(context, logs),
            Some(ExplainTable::Latency { logs }) => latency::run(context, logs),
            None => Err(Failure::Refused(
                "expected the id of a call, or the name of a table".to_owned(),
            )),
        };
    };
    call::run(context, id, &args.logs)
}
