//! Derives the latency histograms of calls from the instance's effects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use damaskstile::core::prelude::*;

use crate::metrics::{AccountLabels, Metrics};

#[derive(Debug)]
struct CallTiming {
    labels: AccountLabels,
    arrived: Instant,
    last_chunk: Option<Instant>,
    is_sent: bool,
}

/// Tracks open calls and records their latencies in the metrics.
#[derive(Debug)]
pub struct Timings {
    metrics: Arc<Metrics>,
    open: BTreeMap<RequestHandle, CallTiming>,
}

impl Timings {
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            open: BTreeMap::new(),
        }
    }

    /// Updates the call that an effect belongs to and records its latencies.
    pub fn observe(&mut self, effect: &Effect) {
        match effect {
            Effect::Accepted {
                request, account, ..
            } => {
                let timing = CallTiming {
                    labels: AccountLabels {
                        account: account.clone(),
                    },
                    arrived: Instant::now(),
                    last_chunk: None,
                    is_sent: false,
                };
                self.open.insert(*request, timing);
            }
            Effect::Reserved { request } => self.reserved(*request),
            Effect::Dispatch(dispatch) => self.sent(dispatch.request),
            Effect::Relay { request, .. } => self.chunk(*request),
            Effect::Answer { request, outcome } => {
                self.open.remove(request);
                self.metrics.count_outcome(outcome);
            }
            _ => {}
        }
    }

    fn reserved(&self, request: RequestHandle) {
        if let Some(timing) = self.open.get(&request) {
            let waited = timing.arrived.elapsed().as_secs_f64();
            let times = self.metrics.reserve_wait.get_or_create(&timing.labels);
            times.observe(waited);
        }
    }

    fn sent(&mut self, request: RequestHandle) {
        if let Some(timing) = self.open.get_mut(&request)
            && !timing.is_sent
        {
            timing.is_sent = true;
            let waited = timing.arrived.elapsed().as_secs_f64();
            self.metrics
                .overhead
                .get_or_create(&timing.labels)
                .observe(waited);
        }
    }

    fn chunk(&mut self, request: RequestHandle) {
        let Some(timing) = self.open.get_mut(&request) else {
            return;
        };
        let now = Instant::now();
        let (times, since) = match timing.last_chunk {
            Some(last) => (&self.metrics.between_tokens, last),
            None => (&self.metrics.first_token, timing.arrived),
        };
        times
            .get_or_create(&timing.labels)
            .observe(now.duration_since(since).as_secs_f64());
        timing.last_chunk = Some(now);
    }
}
