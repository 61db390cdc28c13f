//! Daemon that hosts one instance: threads for input and output, and one that makes decisions.
//!
//! The decision logic is in the library. Bounded queues carry work between the
//! threads.

mod callers;
mod completion;
mod config;
mod decider;
mod member_status;
mod metrics;
mod operators;
mod peers;
mod plain_answer;
mod problem;
mod recorder;
mod shared;
mod status;
mod store;
mod targets;
mod threads;
mod timings;

use std::io::Read;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use damaskstile::core::identity::Identity;

use damaskstile_gateway::{clock, logs};

use crate::config::Config;

/// Time that callers have to read their last answers once the instance has stopped.
const CALLER_DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Runs one instance of the damaskstile router fleet.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Configuration file of the instance, in TOML.
    #[arg(long)]
    config: PathBuf,
    /// Checks the configuration file and exits.
    #[arg(long)]
    check: bool,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let config = Config::try_from_file(&args.config)?;
    if args.check {
        println!("{}: valid", args.config.display());
        return Ok(());
    }
    run(&config)
}

fn run(config: &Config) -> anyhow::Result<()> {
    let (log, _guard) = logs::logger(config.log_format, &config.instance, std::io::stderr());
    let clock = clock::Clock::start();
    let metrics = Arc::new(metrics::Metrics::new());
    let (shared, events) = shared::SharedState::new(Arc::clone(&metrics));
    let shared = Arc::new(shared);
    let status = Arc::new(status::Status::default());

    let incarnation = random_u64().context("cannot read a random incarnation from /dev/urandom")?;
    let identity = Identity::new(&config.instance, incarnation, &config.data_centre);
    let store = store::start(config, Arc::clone(&shared))?;
    let peers = peers::start(config, identity.clone(), Arc::clone(&shared), &log)?;
    let targets = targets::start(Arc::clone(&shared), clock)?;
    callers::start(config, Arc::clone(&shared))?;
    operators::start(config, Arc::clone(&shared), Arc::clone(&status))?;

    let outputs = decider::Outputs {
        store,
        peers,
        targets,
    };
    let host = decider::HostContext {
        clock,
        shared: Arc::clone(&shared),
        status,
        outputs,
        log,
    };
    let decider = decider::Decider::try_new(config, identity, host)?;
    let thread = threads::spawn("decide", move || decider.run(events))?;
    if thread.join().is_err() {
        anyhow::bail!("the decision thread panicked");
    }
    shared.wait_for_callers(CALLER_DRAIN_LIMIT);
    Ok(())
}

/// Reads a random number from the system.
fn random_u64() -> std::io::Result<u64> {
    let mut bytes = [0_u8; 8];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(u64::from_le_bytes(bytes))
}

impl Config {
    fn try_from_file(path: &std::path::Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        Self::try_from_toml(&text).with_context(|| format!("in {}", path.display()))
    }
}
