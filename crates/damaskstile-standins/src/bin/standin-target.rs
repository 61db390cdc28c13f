//! Runs a stand-in target and adds it to the platform's target list.

use std::time::Duration;

use clap::Parser;
use damaskstile_core::prelude::TargetInfo;
use damaskstile_http::{Call, send_and_collect};
use damaskstile_standins::{serve, target};

#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on, as IP and port.
    #[arg(long)]
    listen: String,
    /// Address of the platform.
    #[arg(long)]
    platform: String,
    /// Name of the target.
    #[arg(long)]
    name: String,
    /// Service that the target provides.
    #[arg(long)]
    service: String,
    /// Data centre of the target.
    #[arg(long, default_value = "")]
    data_centre: String,
    /// Time between two tokens, in milliseconds.
    #[arg(long, default_value_t = 2)]
    pace_ms: u64,
    /// Price of a call of a plain service, in tokens.
    #[arg(long, default_value_t = 0)]
    price_tokens: u64,
    /// Reported number of slots; model requests beyond twice this number are refused.
    #[arg(long, default_value_t = 64)]
    slots: u64,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let faults = target::Faults {
        pace_ms: args.pace_ms,
        slots_requests: args.slots,
        price_tokens: args.price_tokens,
        ..target::Faults::default()
    };
    let server = serve(&args.listen, target::api()?, target::Engine::new(faults))?;
    let info = TargetInfo {
        target: args.name.clone(),
        address: server.local_addr().to_string(),
        service: args.service,
        data_centre: args.data_centre,
        is_leaving: false,
    };
    let path = format!("/targets/{}", args.name);
    let call =
        Call::new(&args.platform, http::Method::PUT, &path).body(serde_json::to_string(&info)?);
    send_and_collect(call, Duration::from_secs(2)).await?;
    println!("listening on {}", server.local_addr());
    server.await.map_err(|error| anyhow::anyhow!(error))
}
