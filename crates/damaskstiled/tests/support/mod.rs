//! Test fixture: a fleet of real daemon processes with stand-ins for the platform and the targets.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use damaskstile::budgets::{Entry, Ledger};
use damaskstile::core::hex::to_hex;
use damaskstile::core::prelude::*;
use damaskstile_http::{Call, Platform, send_and_collect};
use damaskstile_standins::target::{Engine, Faults};
use damaskstile_standins::{platform, serve, target};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Bearer token of the only client account.
const TOKEN: &str = "test-token";
/// Time limit for an instance to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Response that a caller received.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// JSON body; `Null` if there was none.
    pub body: Value,
}

impl Answer {
    /// Returns whether the request was answered.
    pub fn is_answered(&self) -> bool {
        self.status == 200
    }
}

struct Process {
    child: Child,
    config: PathBuf,
    callers: String,
    operators: String,
}

/// A fleet of real processes, which are killed on drop.
pub struct Fleet {
    /// Client of the stand-in platform.
    pub platform: Platform,
    platform_address: String,
    engines: BTreeMap<String, Arc<Engine>>,
    processes: BTreeMap<String, Process>,
    dir: PathBuf,
}

/// First port for instances; all are below the system's range for outgoing connections.
const FIRST_PORT: u16 = 11_000;
/// Number of ports that are tried in turn before the first one again.
const PORT_COUNT: u16 = 18_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a free port for an instance.
///
/// A port picked by the system could be reused for an outgoing connection before the instance
/// listens on it, or while the instance restarts, and the instance could not start. So the ports
/// are outside the system's range.
fn free_port() -> u16 {
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + number % PORT_COUNT;
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Fleet {
    /// Starts a platform, two model targets, one plain target and the named instances, and waits
    /// until all instances are ready.
    pub async fn start(test: &str, names: &[&str], budget_tokens: u64) -> Self {
        let server = serve(
            "127.0.0.1:0",
            platform::api().expect("api"),
            platform::Platform::new(),
        )
        .expect("platform");
        let platform_address = server.local_addr().to_string();
        tokio::spawn(server);
        let mut fleet = Self {
            platform: Platform::new(&platform_address),
            platform_address,
            engines: BTreeMap::new(),
            processes: BTreeMap::new(),
            dir: std::env::temp_dir().join(format!("damaskstile-{test}-{}", std::process::id())),
        };
        std::fs::create_dir_all(&fleet.dir).expect("folder");
        fleet.add_target("chat-1", "chat").await;
        fleet.add_target("chat-2", "chat").await;
        fleet.add_target("publish-1", "publish").await;
        fleet.put_settings("").await;
        let mut ledger = Ledger::default();
        ledger.top_up("first", budget_tokens);
        let value = ledger.to_json().expect("ledger");
        fleet
            .platform
            .write("budgets/office", 0, value)
            .await
            .expect("budget");
        fleet.start_instances(names);
        for name in names {
            fleet.wait_ready(name).await;
        }
        tokio::time::sleep(Duration::from_millis(1500)).await;
        fleet
    }

    async fn add_target(&mut self, name: &str, service: &str) {
        let faults = Faults {
            price_tokens: if service == "publish" { 3 } else { 0 },
            ..Faults::default()
        };
        let engine = Engine::new(faults);
        let api = target::api().expect("api");
        let server = serve("127.0.0.1:0", api, Arc::clone(&engine)).expect("target");
        let info = json!({
            "target": name, "address": server.local_addr().to_string(), "service": service,
        });
        tokio::spawn(server);
        self.call_platform(http::Method::PUT, &format!("/targets/{name}"), &info)
            .await;
        self.engines.insert(name.to_owned(), engine);
    }

    /// Writes a new version of the settings, with the given values in the `[fleet]` table.
    ///
    /// Returns the new version.
    pub async fn put_settings(&self, values: &str) -> Version {
        let text = format!(
            "[system]\ninstances = 3\nseal_after_ms = 2000\nstop_grace_ms = 300\n\
             [fleet]\n{values}\n\
             [service.chat]\n[service.publish]\nkind = \"plain\"\nprice_tokens = 3\n\
             is_non_idempotent = true\ncan_resume = false\n\
             [account.office]\nbudget = \"office\"\ntoken_sha256 = [\"{}\"]\n",
            to_hex(&Sha256::digest(TOKEN.as_bytes()))
        );
        let value = json!({"author": "test", "note": "", "at_unix_ms": 0, "text": text});
        let standing = self.platform.read("settings/tree").await.expect("read");
        let version = standing.map_or(0, |object| object.version);
        match self
            .platform
            .write("settings/tree", version, value.to_string())
            .await
        {
            Ok(StoreAnswer::Written { version }) => version,
            other => panic!("settings: {other:?}"),
        }
    }

    async fn call_platform(&self, method: http::Method, path: &str, body: &Value) {
        let call = Call::new(&self.platform_address, method, path)
            .header("content-type", "application/json")
            .body(body.to_string());
        send_and_collect(call, Duration::from_secs(2))
            .await
            .expect("platform");
    }

    /// Sets the faults that the platform simulates.
    pub async fn set_platform_faults(&self, faults: &Value) {
        self.call_platform(http::Method::PUT, "/faults", faults)
            .await;
    }

    fn start_instances(&mut self, names: &[&str]) {
        let peers: Vec<(String, u16)> = names
            .iter()
            .map(|name| ((*name).to_owned(), free_port()))
            .collect();
        for (index, (name, port)) in peers.iter().enumerate() {
            let (callers, operators) = (free_port(), free_port());
            let mut config = format!(
                "instance = \"{name}\"\ndata_centre = \"dc-{index}\"\n\
                 callers_address = \"127.0.0.1:{callers}\"\n\
                 operators_address = \"127.0.0.1:{operators}\"\n\
                 peers_address = \"127.0.0.1:{port}\"\n\
                 platform_address = \"{}\"\n",
                self.platform_address
            );
            for (other, (peer, peer_port)) in peers.iter().enumerate() {
                if peer != name {
                    let entry = format!(
                        "[[peer]]\ninstance = \"{peer}\"\ndata_centre = \"dc-{other}\"\n\
                         address = \"127.0.0.1:{peer_port}\"\n"
                    );
                    config.push_str(&entry);
                }
            }
            let path = self.dir.join(format!("{name}.toml"));
            std::fs::write(&path, config).expect("config");
            let process = Process {
                child: spawn(&path),
                config: path,
                callers: format!("127.0.0.1:{callers}"),
                operators: format!("127.0.0.1:{operators}"),
            };
            self.processes.insert(name.clone(), process);
        }
    }

    /// Waits until an instance is ready.
    pub async fn wait_ready(&self, name: &str) {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let call = Call::new(
                &self.processes[name].operators,
                http::Method::GET,
                "/healthz",
            );
            let reply = send_and_collect(call, Duration::from_secs(1)).await;
            if reply.is_ok_and(|reply| reply.status.is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        panic!("{name} is not ready");
    }

    /// Returns the status of an instance, or `Null` if it does not answer.
    pub async fn status(&self, name: &str) -> Value {
        let call = Call::new(
            &self.processes[name].operators,
            http::Method::GET,
            "/v1/status",
        );
        match send_and_collect(call, Duration::from_secs(1)).await {
            Ok(reply) => serde_json::from_slice(&reply.body).unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, name: &str, signal: rustix::process::Signal) {
        let child = &self.processes[name].child;
        let pid = rustix::process::Pid::from_child(child);
        rustix::process::kill_process(pid, signal).expect("signal");
    }

    /// Waits for an instance to exit; returns whether it exited with success within 20 s.
    pub async fn wait_ended(&mut self, name: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let process = self.processes.get_mut(name).expect("instance");
        while Instant::now() < until {
            if let Ok(Some(status)) = process.child.try_wait() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        false
    }

    /// Starts an instance that has exited, and waits until it is ready.
    pub async fn restart(&mut self, name: &str) {
        let process = self.processes.get_mut(name).expect("instance");
        process.child = spawn(&process.config);
        self.wait_ready(name).await;
    }

    /// Requests a chat completion.
    pub fn chat(
        &self,
        name: &str,
        key: &str,
        output_tokens: u64,
    ) -> impl Future<Output = Answer> + Send + use<> {
        let body = json!({
            "model": "chat",
            "messages": [{"role": "user", "content": format!("n={output_tokens} ")}],
            "max_tokens": output_tokens,
        });
        self.post(name, "/v1/chat/completions", key, &body)
    }

    /// Calls the non-idempotent plain service.
    pub fn publish(&self, name: &str, key: &str) -> impl Future<Output = Answer> + Send + use<> {
        self.post(name, "/v1/services/publish/plain/sheet", key, &json!({}))
    }

    fn post(
        &self,
        name: &str,
        path: &str,
        key: &str,
        body: &Value,
    ) -> impl Future<Output = Answer> + Send + use<> {
        let call = Call::new(&self.processes[name].callers, http::Method::POST, path)
            .header("authorization", &format!("Bearer {TOKEN}"))
            .header("idempotency-key", key)
            .body(body.to_string());
        async move {
            match send_and_collect(call, Duration::from_secs(20)).await {
                Ok(reply) => Answer {
                    status: reply.status.as_u16(),
                    body: serde_json::from_slice(&reply.body).unwrap_or_default(),
                },
                Err(_) => Answer {
                    status: 0,
                    body: Value::Null,
                },
            }
        }
    }

    /// Reads the ledger from the store.
    pub async fn ledger(&self) -> Ledger {
        let object = self.platform.read("budgets/office").await.expect("read");
        Ledger::try_from_json(&object.expect("budget").value).expect("ledger")
    }

    /// Returns the billed entries of the ledger.
    pub async fn bills(&self) -> Vec<Entry> {
        let entries = self.ledger().await.entries;
        entries
            .into_iter()
            .filter(|entry| entry.is_billed)
            .collect()
    }

    /// Returns what the targets ran: the key of each run, and the sum of their tokens.
    pub fn executed(&self) -> (Vec<String>, u64) {
        let runs: Vec<_> = self
            .engines
            .values()
            .flat_map(|engine| engine.ledger())
            .collect();
        let tokens = runs
            .iter()
            .map(|run| run.prompt_tokens + run.output_tokens)
            .sum();
        (runs.into_iter().map(|run| run.key).collect(), tokens)
    }

    /// Waits until all keys are billed, and returns those that are not after the limit.
    pub async fn wait_billed(&self, keys: &[String], limit: Duration) -> Vec<String> {
        let until = Instant::now() + limit;
        loop {
            let bills = self.bills().await;
            let is_billed = |key: &&String| bills.iter().any(|bill| &bill.key == *key);
            let missing: Vec<String> = keys.iter().filter(|key| !is_billed(key)).cloned().collect();
            if missing.is_empty() || Instant::now() >= until {
                return missing;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Sets the faults that a target simulates.
    pub fn set_engine_faults(&self, name: &str, faults: Faults) {
        self.engines[name].set_faults(faults);
    }
}

fn spawn(config: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_damaskstiled"))
        .arg("--config")
        .arg(config)
        .stderr(Stdio::null())
        .spawn()
        .expect("daemon")
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Creates a `UUIDv7` request key with the current time.
pub fn key(number: u64) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    damaskstile::keys::new_request_key(now, number, number)
}
