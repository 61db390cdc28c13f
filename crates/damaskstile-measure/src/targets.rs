//! Comparison of target selection policies, with delayed load reports and a slow target.

use std::time::Duration;

use clap::Args;
use damaskstile::core::prelude::*;
use damaskstile::targets::{RegistryOptions, SelectorKind};
use damaskstile_fakes::simulation::RequestSpec;
use damaskstile_fakes::{Simulation, SimulationOptions, options};

/// Time before the first request.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time after the last request.
const COOL_DOWN: Duration = Duration::from_secs(30);
/// Prompt size of a request, in tokens.
const PROMPT_TOKENS: u64 = 50;
/// Output cap of a request, in tokens.
const CAP_TOKENS: u64 = 200;

/// Arguments of the comparison.
#[derive(Debug, Clone, Args)]
pub struct TargetsArgs {
    /// Seed of the workloads.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests per row of the table.
    #[arg(long, default_value_t = 3000)]
    requests: u64,
}

#[derive(Debug, Clone, Copy)]
struct Deployment {
    name: &'static str,
    data_centres: usize,
    targets: usize,
    far_delay: Duration,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "lindsay",
        data_centres: 3,
        targets: 10,
        far_delay: Duration::from_micros(500),
    },
    Deployment {
        name: "hengyu",
        data_centres: 4,
        targets: 20,
        far_delay: Duration::from_micros(1500),
    },
];

/// Number of instances of each deployment.
const INSTANCES: usize = 9;
/// Requests that a target runs concurrently.
const SLOTS: u64 = 4;
/// Time between two chunks. An answer has four chunks, so a target with four slots nominally
/// answers 20 requests per second; the interval before the end of the run is not counted.
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);

/// Prints the table.
pub fn run(args: &TargetsArgs) {
    println!(
        "deployment\tselector\treport_lag_s\tslow_target\trequests\tanswered\trefused\t\
         p50_first_ms\tp95_first_ms\tp99_first_ms"
    );
    for deployment in DEPLOYMENTS {
        for lag_s in [0, 1, 5] {
            for has_slow in [false, true] {
                for selector in SelectorKind::ALL {
                    println!("{}", row(args, deployment, selector, lag_s, has_slow));
                }
            }
        }
    }
}

fn row(
    args: &TargetsArgs,
    deployment: Deployment,
    selector: SelectorKind,
    lag_s: u64,
    has_slow: bool,
) -> String {
    let mut simulation = simulation(args, deployment, selector, lag_s);
    if has_slow && let Some(target) = simulation.targets.targets.get_mut("chat-0") {
        target.chunk_interval = CHUNK_INTERVAL * 10;
    }
    simulation.run_for(WARM_UP);
    // 70% of the nominal capacity of the targets, 20 requests per second each.
    let targets = u32::try_from(deployment.targets).unwrap_or(1);
    let interval = Duration::from_secs(1) / (20 * targets * 7 / 10);
    let mut random = Random::new(args.seed);
    for _ in 0..args.requests {
        let name = format!("i{:03}", random.index(INSTANCES));
        let output_tokens = 4 + random.below(CAP_TOKENS - 4);
        simulation.request(
            &name,
            &RequestSpec::chat(PROMPT_TOKENS, CAP_TOKENS, output_tokens),
        );
        simulation.run_for(interval / 2 + interval * u32::from(random.below(2) == 1));
    }
    simulation.run_for(COOL_DOWN);
    let slow = if has_slow { "one_tenth" } else { "none" };
    format!(
        "{}\t{}\t{lag_s}\t{slow}\t{}",
        deployment.name,
        selector.as_str(),
        latency_columns(&simulation)
    )
}

fn simulation(
    args: &TargetsArgs,
    deployment: Deployment,
    selector: SelectorKind,
    lag_s: u64,
) -> Simulation {
    let options = SimulationOptions {
        seed: args.seed,
        data_centres: deployment.data_centres,
        instances: INSTANCES,
        targets: deployment.targets,
        slots_requests: SLOTS,
        chunk_interval: CHUNK_INTERVAL,
        far_delay: deployment.far_delay,
        report_lag: Duration::from_secs(lag_s),
        settings: options::settings(&format!("instances = {INSTANCES}")),
        registry: RegistryOptions {
            selector,
            ..RegistryOptions::default()
        },
        ..SimulationOptions::default()
    };
    Simulation::new(options, 1_000_000_000)
}

fn latency_columns(simulation: &Simulation) -> String {
    let mut first: Vec<u128> = simulation
        .calls
        .values()
        .filter_map(|answered| {
            let first_at = answered.first_chunk_at?;
            Some(first_at.saturating_sub(answered.called_at).as_millis())
        })
        .collect();
    first.sort_unstable();
    let percentile = |percent: usize| {
        let index = (first.len() * percent / 100).min(first.len().saturating_sub(1));
        first.get(index).copied().unwrap_or(0)
    };
    let requests = simulation.calls.len();
    let refused = simulation
        .calls
        .values()
        .filter(|answered| answered.outcome.as_ref().is_some_and(Outcome::is_not_run))
        .count();
    format!(
        "{requests}\t{}\t{refused}\t{}\t{}\t{}",
        first.len(),
        percentile(50),
        percentile(95),
        percentile(99)
    )
}
