//! Comparison of policies for a nearly exhausted budget, with and without faults.

use std::time::Duration;

use anyhow::bail;
use clap::Args;
use damaskstile::budgets::PolicyKind;
use damaskstile::core::prelude::*;
use damaskstile_fakes::simulation::RequestSpec;
use damaskstile_fakes::{Simulation, SimulationOptions, options};

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Time before the first request, for instances to discover each other.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time after the last request, for all runs to be settled.
const COOL_DOWN: Duration = Duration::from_mins(1);

/// Arguments of the comparison.
#[derive(Debug, Clone, Args)]
pub struct BudgetsArgs {
    /// Seed of the workloads.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests per row of the table.
    #[arg(long, default_value_t = 2000)]
    requests: u64,
    /// Budget, in percent of the total cost of all requests.
    #[arg(long, default_value_t = 110)]
    budget_percent: u64,
}

/// Size of a simulated fleet and the shape of its requests.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    name: &'static str,
    data_centres: usize,
    far_delay: Duration,
    prompt_tokens: u64,
    cap_tokens: u64,
    /// Share of the requests that are sent to the busiest instance, in percent.
    skew_percent: u64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "lindsay",
        data_centres: 3,
        far_delay: Duration::from_micros(500),
        prompt_tokens: 600,
        cap_tokens: 400,
        skew_percent: 40,
    },
    Deployment {
        name: "hengyu",
        data_centres: 4,
        far_delay: Duration::from_micros(1500),
        prompt_tokens: 200,
        cap_tokens: 800,
        skew_percent: 60,
    },
];

/// Fault that is injected while requests are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Partition,
    Outage,
    Crashes,
    Restarts,
}

impl Fault {
    const ALL: [Self; 5] = [
        Self::None,
        Self::Partition,
        Self::Outage,
        Self::Crashes,
        Self::Restarts,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Partition => "partition",
            Self::Outage => "store_outage",
            Self::Crashes => "deaths",
            Self::Restarts => "restarts",
        }
    }
}

/// A request of a workload; all policies and faults are measured with the same workload.
#[derive(Debug, Clone)]
struct Request {
    instance: usize,
    output_tokens: u64,
}

/// Prints the table.
pub fn run(args: &BudgetsArgs) -> anyhow::Result<()> {
    if args.requests == 0 || args.budget_percent == 0 {
        bail!("--requests and --budget-percent: found 0, expected 1 or more");
    }
    println!(
        "deployment\tpolicy\tfault\trequests\tanswered\toverspend_tokens\tfalse_refusals\t\
         reachable_false_refusals\tstranded_tokens\tstore_writes_per_s\tadded_latency_us"
    );
    for deployment in DEPLOYMENTS {
        let workload = workload(args, deployment);
        for policy in PolicyKind::ALL {
            for fault in Fault::ALL {
                println!("{}", row(args, deployment, policy, fault, &workload));
            }
        }
    }
    Ok(())
}

fn workload(args: &BudgetsArgs, deployment: Deployment) -> Vec<Request> {
    let mut random = Random::new(args.seed);
    (0..args.requests)
        .map(|_| {
            let is_busiest = random.below(100) < deployment.skew_percent;
            let other = 1 + random.index(INSTANCES - 1);
            Request {
                instance: if is_busiest { 0 } else { other },
                output_tokens: 1 + random.below(deployment.cap_tokens),
            }
        })
        .collect()
}

/// Number of instances of each deployment.
const INSTANCES: usize = 9;

fn row(
    args: &BudgetsArgs,
    deployment: Deployment,
    policy: PolicyKind,
    fault: Fault,
    workload: &[Request],
) -> String {
    let cost: u64 = workload
        .iter()
        .map(|request| deployment.prompt_tokens + request.output_tokens)
        .sum();
    let budget = cost * args.budget_percent / 100;
    let mut simulation = simulation(args, deployment, policy, budget);
    simulation.run_for(WARM_UP);
    let started_at = simulation.now;
    let writes_before = simulation.store.writes;
    let injector = FaultInjector::new(fault, workload.len());
    for (number, request) in workload.iter().enumerate() {
        injector.step(&mut simulation, number);
        let instance = FaultInjector::choose_instance(&simulation, request.instance);
        let chat = RequestSpec {
            is_streamed: false,
            ..RequestSpec::chat(
                deployment.prompt_tokens,
                deployment.cap_tokens,
                request.output_tokens,
            )
        };
        simulation.request(&instance, &chat);
        simulation.run_for(REQUEST_INTERVAL);
    }
    let elapsed = simulation.now.saturating_sub(started_at);
    let writes = simulation.store.writes - writes_before;
    FaultInjector::end_faults(&mut simulation);
    simulation.run_for(COOL_DOWN);
    let measurements = Measurements::of(&simulation, writes, elapsed);
    format!(
        "{}\t{}\t{}\t{}",
        deployment.name,
        policy.as_str(),
        fault.as_str(),
        measurements.columns(workload.len())
    )
}

fn simulation(
    args: &BudgetsArgs,
    deployment: Deployment,
    policy: PolicyKind,
    budget: u64,
) -> Simulation {
    let values = format!("[fleet]\nbudget_policy = \"{}\"\n", policy.as_str());
    let settings = values + &options::settings(&format!("instances = {INSTANCES}"));
    let options = SimulationOptions {
        seed: args.seed,
        data_centres: deployment.data_centres,
        instances: INSTANCES,
        targets: 10,
        far_delay: deployment.far_delay,
        chunk_interval: Duration::from_millis(50),
        settings,
        ..SimulationOptions::default()
    };
    Simulation::new(options, budget)
}

fn name(number: usize) -> String {
    format!("i{number:03}")
}

/// Injects faults at fixed points of the workload.
#[derive(Debug)]
struct FaultInjector {
    fault: Fault,
    requests: usize,
}

impl FaultInjector {
    fn new(fault: Fault, requests: usize) -> Self {
        Self { fault, requests }
    }

    /// Injects or ends the faults that are due before the request with this number.
    fn step(&self, simulation: &mut Simulation, number: usize) {
        let is_at = |percent: usize| number == self.requests * percent / 100;
        match self.fault {
            Fault::Partition if is_at(30) => {
                // Half of the instances, the busiest among them, are cut off from the others and from
                // the store.
                simulation.network.island = (0..INSTANCES / 2).map(name).collect();
            }
            Fault::Outage if is_at(30) => simulation.store.is_out = true,
            Fault::Outage if is_at(80) => simulation.store.is_out = false,
            Fault::Crashes => {
                for (percent, index) in [(20, 0), (40, 3), (60, 5)] {
                    if is_at(percent) {
                        simulation.kill(&name(index));
                    }
                    if is_at(percent + 10) {
                        simulation.start(&name(index));
                    }
                }
            }
            Fault::Restarts => {
                for index in 0..INSTANCES {
                    if is_at(5 + index * 10) {
                        simulation.stop(&name(index));
                    }
                    let has_stopped = simulation.instance(&name(index)).is_none();
                    if has_stopped {
                        simulation.start(&name(index));
                    }
                }
            }
            _ => {}
        }
    }

    /// Returns the instance that a load balancer would choose: the usual one, or the next one
    /// that is ready.
    fn choose_instance(simulation: &Simulation, usual: usize) -> String {
        let is_ready = |index: &usize| {
            simulation
                .instance(&name(*index))
                .is_some_and(damaskstile::Instance::is_ready)
        };
        let chosen = (0..INSTANCES)
            .map(|offset| (usual + offset) % INSTANCES)
            .find(is_ready);
        name(chosen.unwrap_or(usual))
    }

    fn end_faults(simulation: &mut Simulation) {
        simulation.network = damaskstile_fakes::Network::default();
        simulation.store.is_out = false;
    }
}

/// Measured columns of a row.
#[derive(Debug)]
struct Measurements {
    answered: usize,
    overspend_tokens: u64,
    false_refusals: usize,
    reachable_false_refusals: usize,
    stranded_tokens: u64,
    store_writes_per_s: f64,
    added_latency_us: u128,
}

impl Measurements {
    #[allow(clippy::cast_precision_loss, reason = "a rate for a person to read")]
    fn of(simulation: &Simulation, writes: u64, elapsed: Duration) -> Self {
        let calls = simulation.calls.values();
        let is_answered =
            |outcome: &Option<Outcome>| outcome.as_ref().is_some_and(Outcome::is_answered);
        let waits: Vec<u128> = calls
            .clone()
            .filter(|answered| is_answered(&answered.outcome))
            .filter_map(|answered| {
                let sent_at = answered.sent_at?;
                Some(sent_at.saturating_sub(answered.called_at).as_micros())
            })
            .collect();
        let ledger = simulation.store.ledger("office");
        Self {
            answered: waits.len(),
            overspend_tokens: simulation
                .targets
                .ran("office")
                .saturating_sub(ledger.topped_up_tokens),
            false_refusals: calls
                .clone()
                .filter(|answered| answered.verdict.is_false)
                .count(),
            reachable_false_refusals: calls
                .filter(|answered| answered.verdict.is_reachable_false)
                .count(),
            stranded_tokens: stranded(simulation),
            store_writes_per_s: writes as f64 / elapsed.as_secs_f64(),
            added_latency_us: waits.iter().sum::<u128>() / (waits.len().max(1) as u128),
        }
    }

    fn columns(&self, requests: usize) -> String {
        format!(
            "{requests}\t{}\t{}\t{}\t{}\t{}\t{:.1}\t{}",
            self.answered,
            self.overspend_tokens,
            self.false_refusals,
            self.reachable_false_refusals,
            self.stranded_tokens,
            self.store_writes_per_s,
            self.added_latency_us
        )
    }
}

/// Returns the tokens that are outstanding in the ledger but that no live instance can use.
fn stranded(simulation: &Simulation) -> u64 {
    let usable: u64 = simulation
        .live_instances()
        .map(|(_, instance)| instance.free_tokens("office") + instance.reserved_tokens("office"))
        .sum();
    simulation
        .store
        .ledger("office")
        .outstanding_tokens()
        .saturating_sub(usable)
}
