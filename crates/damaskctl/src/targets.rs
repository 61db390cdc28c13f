//! Commands that list targets and send them orders.

use clap::Subcommand;
use damaskstile::core::prelude::*;
use serde_json::json;

use crate::context::{Context, get_json, put_json};
use crate::exit::Failure;
use crate::table::Table;

/// Commands for targets.
#[derive(Debug, Subcommand)]
pub enum TargetCommand {
    /// Lists the targets, each with the state that the platform lists and the one that it reports
    /// itself.
    List,
    /// Drains a target: it finishes its running requests and accepts no new ones.
    Drain {
        /// Name of the target.
        name: String,
    },
    /// Sends an order to a target, for example `load_model`.
    Order {
        /// Name of the target.
        name: String,
        /// Name of the order.
        order: String,
        /// Argument of the order.
        #[arg(default_value = "")]
        argument: String,
    },
}

/// Runs a `target` subcommand.
pub async fn run(context: &Context, command: TargetCommand) -> Result<(), Failure> {
    match command {
        TargetCommand::List => list(context).await,
        TargetCommand::Drain { name } => order(context, &name, "drain", "").await,
        TargetCommand::Order {
            name,
            order: order_name,
            argument,
        } => order(context, &name, &order_name, &argument).await,
    }
}

async fn list(context: &Context) -> Result<(), Failure> {
    let targets = context.platform.targets().await?;
    let mut table = Table::new(&["target", "service", "address", "listed", "own_word", "load"]);
    let mut values = Vec::new();
    for info in targets {
        let answer = get_json(&info.address, "/status", &[]).await.ok();
        let status: Option<TargetStatus> =
            answer.and_then(|value| serde_json::from_value(value).ok());
        let listed = state_name(info.is_leaving);
        let reported = status
            .as_ref()
            .map_or("no answer", |status| state_name(status.is_leaving));
        let load = status.as_ref().map_or(String::new(), |status| {
            format!("{}/{}", status.in_flight_requests, status.slots_requests)
        });
        table.row(&[
            &info.target,
            &info.service,
            &info.address,
            &listed,
            &reported,
            &load,
        ]);
        values.push(json!({"target": info, "status": status}));
    }
    context.print(&values, &table)
}

fn state_name(is_leaving: bool) -> &'static str {
    if is_leaving { "leaving" } else { "live" }
}

/// Sends an order to a target. The order is stored first, and its version in the store is sent
/// along as the fencing number.
///
/// If two operators race, only one of them can store an order; the other gets
/// [`Failure::Conflict`]. A target that checks fencing numbers also refuses an order that was
/// stored earlier and arrives later.
async fn order(
    context: &Context,
    name: &str,
    order_name: &str,
    argument: &str,
) -> Result<(), Failure> {
    let targets = context.platform.targets().await?;
    let info = targets
        .into_iter()
        .find(|info| info.target == name)
        .ok_or_else(|| Failure::NotFound(format!("target {name}")))?;
    let key = format!("orders/{name}");
    let current = context.platform.read(&key).await?;
    let version = current.as_ref().map_or(0, |object| object.version);
    let value = json!({
        "order": order_name,
        "argument": argument,
        "author": context.author,
        "at_unix_ms": Context::unix_ms(),
    });
    match context
        .platform
        .write(&key, version, value.to_string())
        .await?
    {
        StoreAnswer::Written { version } => {
            let sent = json!({"fencing": version, "order": order_name, "argument": argument});
            put_json(&info.address, "/orders", &sent).await?;
            println!("order {version} done");
            Ok(())
        }
        StoreAnswer::Conflict(Some(object)) => Err(Failure::Conflict(object.value)),
        _ => Err(Failure::NoAnswer(
            "unexpected answer of the store to the write of the order".to_owned(),
        )),
    }
}
