//! Commands that show the state of a single request and replay traces.

use std::io::BufReader;
use std::path::Path;

use clap::Subcommand;
use damaskstile_http::RequestTarget;

use crate::context::{Context, get_json};
use crate::exit::Failure;
use crate::table::Table;

/// Commands for requests.
#[derive(Debug, Subcommand)]
pub enum RequestCommand {
    /// Shows the state and outcome of a request.
    Explain {
        /// Key of the request.
        key: String,
        /// Callers' address of any instance; the one that served the request knows the most.
        #[arg(long)]
        instance: String,
        /// Token of the client account.
        #[arg(long, env = "DAMASKSTILE_TOKEN")]
        token: String,
    },
}

/// Runs a `request` subcommand.
pub async fn run(context: &Context, command: RequestCommand) -> Result<(), Failure> {
    let RequestCommand::Explain {
        key,
        instance,
        token,
    } = command;
    let bearer = format!("Bearer {token}");
    let path = RequestTarget::new("/v1/requests").segment(&key);
    let value = get_json(&instance, &path.to_string(), &[("authorization", &bearer)]).await?;
    let mut table = Table::new(&["field", "value"]);
    for field in [
        "key",
        "step",
        "outcome",
        "target",
        "billed_tokens",
        "runs",
        "instance",
    ] {
        table.row(&[&field, &value[field]]);
    }
    for why in value["why"].as_array().into_iter().flatten() {
        table.row(&[&"why", why]);
    }
    context.print(&value, &table)
}

/// Replays a trace and prints how many of its expectations held.
///
/// # Errors
///
/// Returns [`Failure::Different`] with a list of the expectations that did not hold, and
/// [`Failure::Refused`] if the trace cannot be read.
pub fn replay(context: &Context, path: &Path) -> Result<(), Failure> {
    let file = std::fs::File::open(path)
        .map_err(|error| Failure::Refused(format!("{}: {error}", path.display())))?;
    let replayed = damaskstile::trace::replay(&mut BufReader::new(file))
        .map_err(|error| Failure::Refused(error.to_string()))?;
    let mut table = Table::new(&["events", "held", "broken", "outcomes"]);
    table.row(&[
        &replayed.events,
        &replayed.held,
        &replayed.broken.len(),
        &replayed.outcomes.len(),
    ]);
    context.print(&replayed, &table)?;
    if replayed.broken.is_empty() {
        return Ok(());
    }
    Err(Failure::Different(replayed.broken.join("\n")))
}
