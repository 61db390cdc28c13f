//! Runs the stand-in platform.

use clap::Parser;
use damaskstile_standins::{platform, serve};

#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on, as IP and port.
    #[arg(long)]
    listen: String,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let server = serve(&args.listen, platform::api()?, platform::Platform::new())?;
    println!("listening on {}", server.local_addr());
    server.await.map_err(|error| anyhow::anyhow!(error))
}
