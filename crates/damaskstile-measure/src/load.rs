//! Load generator for running instances that checks their bills against the targets' runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use clap::Args;
use damaskstile::budgets::Ledger;
use damaskstile::keys::ledger_key;
use damaskstile_http::{Call, Platform, Reply, send_and_collect};
use serde_json::{Value, json};
use tokio::sync::{Mutex, Semaphore};

/// Time limit of one request.
const REQUEST_LIMIT: Duration = Duration::from_secs(30);
/// Time within which all bills must be stored after the last answer.
const BILLS_LIMIT: Duration = Duration::from_secs(10);

/// Arguments of the load generator.
#[derive(Debug, Clone, Args)]
pub struct LoadArgs {
    /// Addresses on which instances accept callers.
    #[arg(long, required = true)]
    instance: Vec<String>,
    /// Address of the platform.
    #[arg(long)]
    platform: String,
    /// Token of the client account.
    #[arg(long)]
    token: String,
    /// Budget of the client account.
    #[arg(long)]
    budget: String,
    /// Name of the model service.
    #[arg(long, default_value = "chat")]
    model: String,
    /// Plain service that every fifth request calls; none if omitted.
    #[arg(long)]
    plain: Option<String>,
    /// Requests to send.
    #[arg(long, default_value_t = 200)]
    requests: u64,
    /// Maximum number of concurrent requests.
    #[arg(long, default_value_t = 8)]
    at_a_time: usize,
    /// Skips the direct calls to a target that are made for comparison.
    #[arg(long)]
    no_direct: bool,
    /// Output tokens of each answer.
    #[arg(long, default_value_t = 8)]
    output_tokens: u64,
}

/// Outcomes and latencies of the requests.
#[derive(Debug, Default)]
struct Tally {
    outcomes: BTreeMap<String, u64>,
    via_fleet: Vec<Duration>,
    direct: Vec<Duration>,
}

/// Runs the load generator and prints its report.
pub fn run(args: LoadArgs) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(load(args))
}

async fn load(args: LoadArgs) -> anyhow::Result<()> {
    let platform = Platform::new(&args.platform);
    let targets = platform
        .targets()
        .await
        .context("cannot read the list of targets")?;
    let target = targets
        .iter()
        .find(|info| info.service == args.model)
        .context("the platform lists no target of the model service")?;
    let bills_before = read_ledger(&args, &platform).await?.bills;
    let tally = Arc::new(Mutex::new(Tally::default()));
    let permits = Arc::new(Semaphore::new(args.at_a_time));
    let args = Arc::new(args);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..args.requests {
        let permit = Arc::clone(&permits).acquire_owned().await?;
        let (args, tally) = (Arc::clone(&args), Arc::clone(&tally));
        let direct = target.address.clone();
        tasks.push(tokio::spawn(async move {
            send_request(&args, number, &direct, &tally).await;
            drop(permit);
        }));
    }
    for task in tasks {
        task.await?;
    }
    let elapsed = started.elapsed();
    let tally = std::mem::take(&mut *tally.lock().await);
    report(&args, &platform, &tally, bills_before, elapsed).await
}

async fn send_request(args: &LoadArgs, number: u64, direct: &str, tally: &Mutex<Tally>) {
    let index = usize::try_from(number).unwrap_or(0) % args.instance.len();
    let address = &args.instance[index];
    let plain = args.plain.as_ref().filter(|_| number % 5 == 4);
    let call = match plain {
        Some(service) => Call::new(
            address,
            http::Method::POST,
            &format!("/v1/services/{service}/plain/status"),
        )
        .body("{}"),
        None => completion(args, address, number.is_multiple_of(2)),
    };
    let call = call.header("authorization", &format!("Bearer {}", args.token));
    let started = Instant::now();
    let reply = send_and_collect(call, REQUEST_LIMIT).await;
    let via_fleet = started.elapsed();
    let outcome = outcome(reply);
    let mut direct_time = None;
    if plain.is_none() && !args.no_direct {
        let started = Instant::now();
        let call = completion(args, direct, number.is_multiple_of(2));
        if send_and_collect(call, REQUEST_LIMIT).await.is_ok() {
            direct_time = Some(started.elapsed());
        }
    }
    let mut tally = tally.lock().await;
    let is_answered = outcome == "answered";
    *tally.outcomes.entry(outcome).or_default() += 1;
    if is_answered && plain.is_none() {
        tally.via_fleet.push(via_fleet);
        tally.direct.extend(direct_time);
    }
}

fn completion(args: &LoadArgs, address: &str, is_streamed: bool) -> Call {
    let body = json!({
        "model": args.model,
        "messages": [{"role": "user", "content": format!("write n={} ", args.output_tokens)}],
        "max_tokens": args.output_tokens,
        "stream": is_streamed,
    });
    Call::new(address, http::Method::POST, "/v1/chat/completions")
        .header("content-type", "application/json")
        .body(body.to_string())
}

fn outcome(reply: damaskstile_http::Result<Reply>) -> String {
    let Ok(reply) = reply else {
        return "no answer".to_owned();
    };
    let text = reply.text();
    let is_stream = reply
        .headers
        .get("content-type")
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    if is_stream {
        let is_complete = text.trim_end().ends_with("data: [DONE]");
        return if is_complete { "answered" } else { "cut" }.to_owned();
    }
    if reply.status.is_success() {
        return "answered".to_owned();
    }
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let field = |name: &str| value[name].as_str().unwrap_or("?").to_owned();
    format!("{} {}", field("outcome"), field("code"))
}

fn percentile(times: &[Duration], percent: usize) -> Duration {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}

async fn report(
    args: &LoadArgs,
    platform: &Platform,
    tally: &Tally,
    bills_before: u64,
    elapsed: Duration,
) -> anyhow::Result<()> {
    let answered = tally.outcomes.get("answered").copied().unwrap_or(0);
    let ledger = settled_ledger(args, platform, bills_before + answered).await?;
    let (runs, ran_tokens) = target_totals(platform).await?;
    println!("outcome\trequests");
    for (outcome, count) in &tally.outcomes {
        println!("{outcome}\t{count}");
    }
    println!("billed\t{}", ledger.bills);
    println!("ran at targets\t{runs}");
    println!();
    println!("tokens\tcount");
    println!("topped up\t{}", ledger.topped_up_tokens);
    println!("settled\t{}", ledger.settled_tokens);
    println!("held\t{}", ledger.outstanding_tokens());
    println!("free\t{}", ledger.free_tokens());
    println!("ran at targets\t{ran_tokens}");
    println!();
    println!("time\tp50_us\tp95_us");
    for (name, times) in [("through", &tally.via_fleet), ("direct", &tally.direct)] {
        let (p50, p95) = (percentile(times, 50), percentile(times, 95));
        println!("{name}\t{}\t{}", p50.as_micros(), p95.as_micros());
    }
    println!("requests a second\t{:.0}", rate(args.requests, elapsed));
    compare(&ledger, runs, ran_tokens)
}

#[allow(clippy::cast_precision_loss, reason = "a rate for a person to read")]
fn rate(requests: u64, elapsed: Duration) -> f64 {
    requests as f64 / elapsed.as_secs_f64()
}

fn compare(ledger: &Ledger, runs: u64, ran_tokens: u64) -> anyhow::Result<()> {
    let sum = ledger.settled_tokens + ledger.outstanding_tokens() + ledger.free_tokens();
    if sum != ledger.topped_up_tokens {
        bail!(
            "ledger does not balance: settled + held + free = {sum} tokens, {} topped up",
            ledger.topped_up_tokens
        );
    }
    if ledger.bills != runs {
        bail!(
            "ledger has {} bills, targets executed {runs} runs",
            ledger.bills
        );
    }
    if ledger.settled_tokens != ran_tokens {
        bail!(
            "ledger has {} tokens settled, targets processed {ran_tokens}",
            ledger.settled_tokens
        );
    }
    println!("bills equal what targets ran");
    Ok(())
}

async fn read_ledger(args: &LoadArgs, platform: &Platform) -> anyhow::Result<Ledger> {
    let object = platform.read(&ledger_key(&args.budget)).await?;
    let object = object.with_context(|| format!("no ledger of budget `{}`", args.budget))?;
    Ok(Ledger::try_from_json(&object.value)?)
}

/// Waits until `bills` bills are stored, at most [`BILLS_LIMIT`], and returns the ledger.
async fn settled_ledger(
    args: &LoadArgs,
    platform: &Platform,
    bills: u64,
) -> anyhow::Result<Ledger> {
    let until = Instant::now() + BILLS_LIMIT;
    loop {
        let ledger = read_ledger(args, platform).await?;
        if ledger.bills >= bills || Instant::now() >= until {
            return Ok(ledger);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the number of runs at all targets and their tokens. Direct calls are left out: they
/// carry no account.
async fn target_totals(platform: &Platform) -> anyhow::Result<(u64, u64)> {
    let mut runs = 0;
    let mut tokens = 0;
    for info in platform.targets().await? {
        let call = Call::new(&info.address, http::Method::GET, "/ledger");
        let reply = send_and_collect(call, REQUEST_LIMIT).await?;
        let list: Vec<Value> = serde_json::from_slice(&reply.body)?;
        for run in list.iter().filter(|run| run["account"] != "") {
            runs += 1;
            let count = |name: &str| run[name].as_u64().unwrap_or(0);
            tokens += count("prompt_tokens") + count("output_tokens");
        }
    }
    Ok((runs, tokens))
}
