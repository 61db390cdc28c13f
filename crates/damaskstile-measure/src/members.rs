//! Measurement of the cost of membership and of the spread of settings, with the real decision
//! logic and encoded frames.

use std::time::{Duration, Instant};

use clap::Args;
use damaskstile_fakes::{Simulation, SimulationOptions, options};

/// Time for instances to discover each other.
const WARM_UP: Duration = Duration::from_secs(30);
/// Virtual time over which the cost is measured.
const MEASURED: Duration = Duration::from_secs(30);
/// Time limit for new settings to reach all instances.
const SPREAD_LIMIT: Duration = Duration::from_secs(30);

/// Arguments of the measurement.
#[derive(Debug, Clone, Args)]
pub struct MembersArgs {
    /// Fleet sizes to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 9, 30, 100])]
    members: Vec<usize>,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Prints the table. The processor time is measured on this machine, as the elapsed time of the
/// simulation.
pub fn run(args: &MembersArgs) {
    println!(
        "members\tmessages_per_member_s\tbytes_per_member_s\tcpu_us_per_member_s\t\
         store_calls_per_s\tsettings_p95_ms\tsettings_slowest_ms"
    );
    for members in &args.members {
        println!("{}", row(args, *members));
    }
}

#[allow(clippy::cast_precision_loss, reason = "rates for a person to read")]
fn row(args: &MembersArgs, members: usize) -> String {
    let options = SimulationOptions {
        seed: args.seed,
        instances: members,
        data_centres: 6,
        settings: options::settings(&format!("instances = {members}")),
        ..SimulationOptions::default()
    };
    let mut simulation = Simulation::new(options, 1_000_000);
    simulation.counts_bytes = true;
    simulation.run_for(WARM_UP);
    let (messages, bytes) = (simulation.messages, simulation.bytes);
    let calls = simulation.store.reads + simulation.store.writes;
    let started = Instant::now();
    simulation.run_for(MEASURED);
    let cpu = started.elapsed();
    let per_member = |count: u64| count as f64 / members as f64 / MEASURED.as_secs_f64();
    let calls = simulation.store.reads + simulation.store.writes - calls;
    let (p95, slowest) = measure_settings_spread(&mut simulation);
    format!(
        "{members}\t{:.1}\t{:.0}\t{:.0}\t{:.1}\t{}\t{}",
        per_member(simulation.messages - messages),
        per_member(simulation.bytes - bytes),
        per_member(u64::try_from(cpu.as_micros()).unwrap_or(u64::MAX)),
        calls as f64 / MEASURED.as_secs_f64(),
        p95.as_millis(),
        slowest.as_millis()
    )
}

/// Stores new settings, notifies the watching instances, and waits until all instances apply
/// them. Returns the 95th percentile over the instances that did and the maximum, which is
/// [`SPREAD_LIMIT`] if an instance did not apply them in time.
fn measure_settings_spread(simulation: &mut Simulation) -> (Duration, Duration) {
    let text = format!(
        "[fleet]\nmax_output_tokens = 77\n{}",
        options::settings("instances = 9")
    );
    let version = simulation.put_settings(&text);
    simulation.show_settings();
    let started_at = simulation.now;
    let mut times = Vec::new();
    let all = simulation.names().len();
    while times.len() < all && simulation.now.saturating_sub(started_at) < SPREAD_LIMIT {
        simulation.run_for(Duration::from_millis(5));
        let applied = simulation
            .live_instances()
            .filter(|(_, instance)| instance.settings().version() >= version)
            .count();
        let now = simulation.now.saturating_sub(started_at);
        while times.len() < applied {
            times.push(now);
        }
    }
    let index = (times.len() * 95 / 100).min(times.len().saturating_sub(1));
    let p95 = times.get(index).copied().unwrap_or(SPREAD_LIMIT);
    let slowest = if times.len() == all {
        times.last().copied().unwrap_or(SPREAD_LIMIT)
    } else {
        SPREAD_LIMIT
    };
    (p95, slowest)
}
