//! Metrics of the gateway.

mod target_speeds;

use std::sync::{Mutex, PoisonError};

use damaskstile_core::prelude::*;
use damaskstile_targets::TargetCounts;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::admission_counts::AdmissionCounts;
use crate::bulk_metrics::BulkMetrics;
use crate::caller_metrics::CallerMetrics;
use crate::copy_metrics::CopyMetrics;
use crate::load_metrics::LoadMetrics;
use crate::path_metrics::PathMetrics;
use crate::succession_metrics::SuccessionMetrics;

/// Labels of metrics by client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    account: String,
}

/// Labels of metrics by target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TargetLabels {
    target: String,
}

/// Labels of metrics by watch of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WatchLabels {
    watch: &'static str,
}

/// Labels of metrics by background task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DutyLabels {
    duty: &'static str,
}

/// Labels of metrics of calls to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    call: String,
    outcome: &'static str,
}

/// Labels of metrics by outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    account: String,
    outcome: &'static str,
}

/// `Stored` is a kind of stored object, as metrics distinguish them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stored {
    /// The catalogue.
    Catalogue,
    /// The entry of a target.
    Target,
    /// The ledger.
    Ledger,
    /// The entry of an evacuated data centre.
    Evacuated,
}

/// Labels of metrics of refused objects.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoredLabels {
    stored: &'static str,
}

/// Labels of metrics by state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

/// `Metrics` holds the metrics of an instance and their registry.
#[derive(Debug)]
pub struct Metrics {
    /// Admitted and rejected calls.
    pub admissions: AdmissionCounts,
    registry: Mutex<Registry>,
    /// Copies of runs.
    pub(crate) copies: CopyMetrics,
    /// Counts the targets that were chosen to go on with a call.
    pub(crate) successions: SuccessionMetrics,
    outcomes: Family<OutcomeLabels, Counter>,
    first_byte: Family<AccountLabels, Histogram>,
    target_first_byte: Family<TargetLabels, Histogram>,
    free_tokens: Family<AccountLabels, Gauge>,
    store_age_ms: Gauge,
    watch_age_ms: Family<WatchLabels, Gauge>,
    catalogue_version: Gauge,
    store_history: Gauge,
    targets: Family<StateLabels, Gauge>,
    refused_entries: Family<StoredLabels, Counter>,
    incomplete_lists: Family<StoredLabels, Counter>,
    open_calls: Gauge,
    store_calls: Family<StoreCallLabels, Gauge>,
    peer_bytes: Family<DutyLabels, Gauge>,
    loans: Family<StateLabels, Gauge>,
    contents: Family<StateLabels, Gauge>,
    /// Load and readiness.
    pub load: LoadMetrics,
    target_speed_percent: Family<TargetLabels, Gauge>,
    /// Metrics of bulk prompts.
    pub bulk: BulkMetrics,
    /// Paths to targets.
    pub paths: PathMetrics,
    /// What is held for callers.
    pub callers: CallerMetrics,
}

fn histogram() -> Histogram {
    // Buckets from half a millisecond to about 16 s.
    Histogram::new(exponential_buckets(0.000_5, 2.0, 16))
}

impl Metrics {
    /// Makes and registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("damaskstile");
        let admissions = AdmissionCounts::default();
        admissions.register(&mut registry);
        let copies = CopyMetrics::register(&mut registry);
        let successions = SuccessionMetrics::register(&mut registry);
        let outcomes = Family::default();
        let first_byte = Family::new_with_constructor(histogram as fn() -> Histogram);
        let target_first_byte = Family::new_with_constructor(histogram as fn() -> Histogram);
        let free_tokens = Family::default();
        let store_age_ms = Gauge::default();
        let watch_age_ms = Family::default();
        let catalogue_version = Gauge::default();
        let store_history = Gauge::default();
        let targets = Family::default();
        let refused_entries = Family::default();
        let incomplete_lists = Family::default();
        let open_calls = Gauge::default();
        let store_calls = Family::default();
        let peer_bytes = Family::default();
        let loans = Family::default();
        let contents = Family::default();
        let load = LoadMetrics::default();
        load.register(&mut registry);
        let target_speed_percent = target_speeds::register(&mut registry);
        registry.register("calls", "Calls by outcome", outcomes.clone());
        let help = "Seconds to the first byte of an answer, by client account";
        registry.register("first_byte_seconds", help, first_byte.clone());
        let help = "Seconds to the first byte of an answer, by target";
        registry.register("target_first_byte_seconds", help, target_first_byte.clone());
        let help = "Tokens that could be reserved here at once";
        registry.register("free_tokens", help, free_tokens.clone());
        let help = "Milliseconds since the store last answered";
        registry.register("store_age_ms", help, store_age_ms.clone());
        let help = "Milliseconds since a list or a watch of the store was last answered";
        registry.register("watch_age_ms", help, watch_age_ms.clone());
        let help = "Version of the catalogue in force";
        registry.register("catalogue_version", help, catalogue_version.clone());
        let help = "History of the store; rises each time that it comes back from an older copy";
        registry.register("store_history", help, store_history.clone());
        let help = "Targets of the list, by what keeps them in or out of use";
        registry.register("targets", help, targets.clone());
        let help = "Stored objects that could not be used, counted once for each fault";
        registry.register("refused_entries", help, refused_entries.clone());
        let help = "Lists of the store that could not be read to their end";
        registry.register("incomplete_lists", help, incomplete_lists.clone());
        registry.register("open_calls", "Calls that are open", open_calls.clone());
        let help = "Calls to the store since the start, by what they were for and how they ended";
        registry.register("store_calls", help, store_calls.clone());
        let help = "Bytes sent to peers since the start, by what they were for";
        registry.register("peer_bytes", help, peer_bytes.clone());
        let help = "Loans of tokens to peers: made since the start, and not over";
        registry.register("loans", help, loans.clone());
        let help = "Contents under which targets ended: all that are remembered, and those refused";
        registry.register("contents", help, contents.clone());
        let bulk = BulkMetrics::new(&mut registry);
        let paths = PathMetrics::register(&mut registry);
        let callers = CallerMetrics::register(&mut registry);
        Self {
            admissions,
            registry: Mutex::new(registry),
            copies,
            successions,
            outcomes,
            first_byte,
            target_first_byte,
            free_tokens,
            store_age_ms,
            watch_age_ms,
            catalogue_version,
            store_history,
            targets,
            refused_entries,
            incomplete_lists,
            open_calls,
            store_calls,
            peer_bytes,
            loans,
            contents,
            load,
            target_speed_percent,
            bulk,
            paths,
            callers,
        }
    }

    /// Counts a call that ended.
    pub fn ended(&self, account: &str, outcome: &'static str) {
        let labels = OutcomeLabels {
            account: account.to_owned(),
            outcome,
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Records the time to the first byte of an answer.
    pub fn first_byte(&self, account: &str, target: &str, took: Duration) {
        let labels = AccountLabels {
            account: account.to_owned(),
        };
        self.first_byte
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
        let labels = TargetLabels {
            target: target.to_owned(),
        };
        self.target_first_byte
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    /// Removes the series of a target that is gone, so that the number of series stays bounded.
    pub fn forget_target(&self, target: &str) {
        let labels = TargetLabels {
            target: target.to_owned(),
        };
        self.target_first_byte.remove(&labels);
    }

    /// Counts an unusable stored object.
    pub fn refused(&self, stored: Stored) {
        let stored = match stored {
            Stored::Catalogue => "catalogue",
            Stored::Target => "target",
            Stored::Ledger => "ledger",
            Stored::Evacuated => "emptied",
        };
        let labels = StoredLabels { stored };
        self.refused_entries.get_or_create(&labels).inc();
    }

    /// Counts a list of the store that could not be read to its end.
    pub fn list_incomplete(&self, stored: &'static str) {
        let labels = StoredLabels { stored };
        self.incomplete_lists.get_or_create(&labels).inc();
    }

    /// Sets the numbers of targets in use and out of use, by reason.
    pub fn count_targets(&self, counts: &TargetCounts) {
        let all = [
            ("ready", counts.ready),
            ("leaving", counts.leaving),
            ("lapsed", counts.lapsed),
            ("refused", counts.refused),
        ];
        for (state, count) in all {
            let labels = StateLabels { state };
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.targets.get_or_create(&labels).set(count);
        }
    }

    /// Sets the number of targets that are in backoff at this instance.
    pub fn sample_backoff(&self, paused: usize) {
        let count = i64::try_from(paused).unwrap_or(i64::MAX);
        let labels = StateLabels { state: "paused" };
        self.targets.get_or_create(&labels).set(count);
    }

    /// Sets the free tokens by account, the time since the store's last answer (-1 if it never
    /// answered) and the version of the catalogue.
    pub fn sample(
        &self,
        free_tokens: &BTreeMap<AccountId, u64>,
        store_age: Option<Duration>,
        version: Version,
    ) {
        for (account, tokens) in free_tokens {
            let labels = AccountLabels {
                account: account.clone(),
            };
            let tokens = i64::try_from(*tokens).unwrap_or(i64::MAX);
            self.free_tokens.get_or_create(&labels).set(tokens);
        }
        let age_ms = store_age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.store_age_ms.set(age_ms);
        self.catalogue_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the history of the store.
    pub fn sample_history(&self, history: History) {
        self.store_history
            .set(i64::try_from(history).unwrap_or(i64::MAX));
    }

    /// Sets the time since a list or a watch of the store was last answered.
    pub fn sample_watch(&self, watch: &'static str, age: Duration) {
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.watch_age_ms
            .get_or_create(&WatchLabels { watch })
            .set(age_ms);
    }

    /// Sets the number of open calls.
    pub fn sample_open_calls(&self, open_calls: usize) {
        self.open_calls
            .set(i64::try_from(open_calls).unwrap_or(i64::MAX));
    }

    /// Sets the counts of calls to the store.
    pub fn sample_store_calls(&self, counts: BTreeMap<(String, &'static str), u64>) {
        for ((call, outcome), count) in counts {
            let labels = StoreCallLabels { call, outcome };
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.store_calls.get_or_create(&labels).set(count);
        }
    }

    /// Sets the counts of bytes sent to peers.
    pub fn sample_peer_bytes(&self, counts: BTreeMap<&'static str, u64>) {
        for (duty, count) in counts {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.peer_bytes
                .get_or_create(&DutyLabels { duty })
                .set(count);
        }
    }

    /// Sets the numbers of cold targets, of targets that advertise a limit and of evacuated data
    /// centres.
    pub fn sample_limited_targets(
        &self,
        cold_targets: usize,
        limited_targets: usize,
        emptied_data_centres: usize,
    ) {
        let all = [
            ("cold", cold_targets),
            ("limited", limited_targets),
            ("emptied_data_centres", emptied_data_centres),
        ];
        for (state, count) in all {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.targets
                .get_or_create(&StateLabels { state })
                .set(count);
        }
    }

    /// Sets the number of loans made to peers and of those that are open.
    pub fn sample_loans(&self, made: u64, open: usize) {
        let made = i64::try_from(made).unwrap_or(i64::MAX);
        let open = i64::try_from(open).unwrap_or(i64::MAX);
        for (state, count) in [("made", made), ("open", open)] {
            self.loans.get_or_create(&StateLabels { state }).set(count);
        }
    }

    /// Sets the number of contents under which targets have ended, and of those that are
    /// quarantined.
    pub fn sample_contents(&self, (known, barred): (usize, usize)) {
        for (state, count) in [("suspect", known), ("refused", barred)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            let labels = StateLabels { state };
            self.contents.get_or_create(&labels).set(count);
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
