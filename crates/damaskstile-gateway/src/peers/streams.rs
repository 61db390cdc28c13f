//! Exchange of the versions of software that began streams.

use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_requests::StreamOrigin;

use super::{DatagramBody, Peers, StreamAnswer, StreamQuery, StreamReport};

/// Time for which streams that begin are gathered before they are reported, while their service has
/// several versions of software.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// The same for services with one version: a small part of the time that most streams take.
const LAZY_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Streams in one report.
const REPORT_STREAMS_MAX: usize = 1_000;

impl Peers {
    /// Reports streams that begin to the peers that keep them, until the process ends.
    pub async fn report_streams(self: Arc<Self>) {
        loop {
            self.gateway.streams_begun.notified().await;
            self.gather_streams().await;
            loop {
                let reports = self.stream_reports();
                if reports.is_empty() {
                    break;
                }
                for (address, report) in reports {
                    self.send(address, DatagramBody::StreamReport(report)).await;
                }
            }
        }
    }

    /// Waits while streams that begin are gathered; for a shorter time once a second version is
    /// listed or a stop has begun.
    async fn gather_streams(&self) {
        let gateway = &self.gateway;
        let until = gateway.now() + LAZY_REPORT_DELAY;
        while !gateway.state().must_report_streams_soon() {
            let left = until.saturating_sub(gateway.now());
            let woken = gateway.streams_begun.notified();
            if tokio::time::timeout(left, woken).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(REPORT_DELAY).await;
    }

    /// Takes the streams that are to be reported, in one report for each recipient and origin.
    fn stream_reports(&self) -> Vec<(SocketAddr, StreamReport)> {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let taken = state.take_streams_to_report(now, REPORT_STREAMS_MAX);
        let mut reports: BTreeMap<(SocketAddr, StreamOrigin), (Duration, Vec<u64>)> =
            BTreeMap::new();
        for (origin, (lifetime, keys)) in taken {
            for key in keys {
                for address in state.stream_keepers(key) {
                    let report = reports.entry((address, origin.clone())).or_default();
                    report.0 = lifetime;
                    report.1.push(key);
                }
            }
        }
        let reports = reports.into_iter();
        reports
            .map(|((address, origin), (lifetime, keys))| {
                (address, StreamReport::new(origin, lifetime, keys))
            })
            .collect()
    }

    /// Hands records of streams over to a peer that has just started. Otherwise those of an instance
    /// that ended would be lost once all that kept them have restarted.
    pub(super) async fn hand_over_streams(&self, newcomer: &str, address: SocketAddr) {
        let now = self.gateway.now();
        let streams = self.gateway.state().streams_to_hand_over(now, newcomer);
        for (origin, (lifetime, keys)) in streams {
            for keys in keys.chunks(REPORT_STREAMS_MAX) {
                let report = StreamReport::new(origin.clone(), lifetime, keys.to_vec());
                self.send(address, DatagramBody::StreamReport(report)).await;
            }
        }
    }

    /// Records the streams that a peer reports.
    pub(super) fn handle_stream_report(&self, report: StreamReport) {
        let now = self.gateway.now();
        let lifetime = Duration::from_millis(report.lifetime_ms);
        let origin = StreamOrigin {
            service: report.service,
            version: report.version,
        };
        let origins = &mut self.gateway.state().stream_origins;
        for key in report.keys.into_iter().take(REPORT_STREAMS_MAX) {
            origins.note_reported(now, key, origin.clone(), lifetime);
        }
    }

    /// Answers a peer that asks where a stream began.
    pub(super) async fn answer_stream_query(&self, query: StreamQuery, address: SocketAddr) {
        let now = self.gateway.now();
        let span = Duration::from_millis(query.span_ms);
        let known = self
            .gateway
            .state()
            .known_origin(now, query.key, &query.service, span);
        let answer = StreamAnswer::new(query.number, known);
        self.send(address, DatagramBody::StreamAnswer(answer)).await;
    }

    /// Processes a peer's answer on where a stream began.
    pub(super) fn handle_stream_answer(&self, from: &str, answer: StreamAnswer) {
        let number = answer.number;
        let known = answer.into_known();
        let lookups = &mut self.gateway.state().origin_lookups;
        if let Some(lookup) = lookups.get_mut(&number) {
            lookup.add_answer(from, known);
            self.gateway.stream_answers.notify_waiters();
        }
    }
}
