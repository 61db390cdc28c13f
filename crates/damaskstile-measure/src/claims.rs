//! Measurement of the store load that non-idempotent requests cause.

use std::time::Duration;

use clap::Args;
use damaskstile::core::prelude::*;
use damaskstile_fakes::simulation::RequestSpec;
use damaskstile_fakes::{Simulation, SimulationOptions, options};

/// Time before the first request.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time during which requests are made.
const MEASURED: Duration = Duration::from_secs(10);
/// Number of instances.
const INSTANCES: u64 = 9;

/// Arguments of the measurement.
#[derive(Debug, Clone, Args)]
pub struct ClaimsArgs {
    /// Request rates to measure, in requests per second.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
    rates: Vec<u64>,
}

/// Prints the table.
pub fn run(args: &ClaimsArgs) {
    println!(
        "requests_per_s\trequests\tanswered\tran_twice\tstore_writes_per_s\tconflicts_per_s\t\
         added_latency_us"
    );
    for rate in &args.rates {
        println!("{}", row(*rate));
    }
}

#[allow(clippy::cast_precision_loss, reason = "rates for a person to read")]
fn row(rate: u64) -> String {
    let options = SimulationOptions {
        instances: usize::try_from(INSTANCES).unwrap_or(1),
        slots_requests: 100_000,
        settings: options::settings(&format!("instances = {INSTANCES}")),
        ..SimulationOptions::default()
    };
    let mut simulation = Simulation::new(options, 1_000_000);
    simulation.run_for(WARM_UP);
    let (writes, conflicts) = (simulation.store.writes, simulation.store.conflicts);
    let interval = Duration::from_secs(1) / u32::try_from(rate).unwrap_or(1);
    let requests = rate * MEASURED.as_secs();
    for number in 0..requests {
        let name = format!("i{:03}", number % INSTANCES);
        simulation.request(&name, &RequestSpec::publish(""));
        simulation.run_for(interval);
    }
    let writes = simulation.store.writes - writes;
    let conflicts = simulation.store.conflicts - conflicts;
    simulation.run_for(Duration::from_secs(20));

    let is_answered =
        |outcome: &Option<Outcome>| outcome.as_ref().is_some_and(Outcome::is_answered);
    let waits: Vec<u128> = simulation
        .calls
        .values()
        .filter(|answered| is_answered(&answered.outcome))
        .filter_map(|answered| {
            let sent_at = answered.sent_at?;
            Some(sent_at.saturating_sub(answered.called_at).as_micros())
        })
        .collect();
    let mut keys = BTreeSet::new();
    let ran_twice = simulation
        .targets
        .runs
        .values()
        .filter(|run| !keys.insert(&run.key))
        .count();
    let per_s = |count: u64| count as f64 / MEASURED.as_secs_f64();
    format!(
        "{rate}\t{requests}\t{}\t{ran_twice}\t{:.1}\t{:.1}\t{}",
        waits.len(),
        per_s(writes),
        per_s(conflicts),
        waits.iter().sum::<u128>() / waits.len().max(1) as u128
    )
}
