//! Command that lists the instances of the fleet as one of them sees the others.

use clap::Subcommand;

use crate::context::{Context, get_json};
use crate::exit::Failure;
use crate::table::Table;

/// Commands for instances.
#[derive(Debug, Subcommand)]
pub enum InstanceCommand {
    /// Lists the instances.
    List {
        /// Operators' address of any instance, as IP and port.
        #[arg(long)]
        instance: String,
    },
}

/// Runs an `instance` subcommand.
pub async fn run(context: &Context, command: InstanceCommand) -> Result<(), Failure> {
    let InstanceCommand::List { instance } = command;
    let status = get_json(&instance, "/v1/status", &[]).await?;
    let mut table = Table::new(&["instance", "data_centre", "state", "settings", "open"]);
    let own_state = if status["is_ready"] == true {
        "ready"
    } else {
        "not ready"
    };
    table.row(&[
        &text(&status["instance"]),
        &"",
        &own_state,
        &status["settings_version"],
        &status["open_requests"],
    ]);
    for member in status["members"].as_array().into_iter().flatten() {
        table.row(&[
            &text(&member["instance"]),
            &text(&member["data_centre"]),
            &text(&member["state"]),
            &member["settings_version"],
            &"",
        ]);
    }
    context.print(&status, &table)
}

fn text(value: &serde_json::Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
