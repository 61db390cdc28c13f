//! Versions of software that began streams, as far as this instance knows.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_requests::{OriginAnswer, StreamKey, StreamOrigin};

use super::State;

/// Age past which an instance of a small fleet that sends no digests is not asked.
const DIGEST_AGE_MAX: Duration = Duration::from_secs(6);

impl State {
    /// Returns what this instance knows of the version that began a stream within the last `span`.
    #[must_use]
    pub fn known_origin(
        &self,
        now: Duration,
        key: Option<StreamKey>,
        service: &str,
        span: Duration,
    ) -> OriginAnswer {
        let origin = key.and_then(|key| self.stream_origins.origin(now, key));
        let table = &self.target_table;
        OriginAnswer {
            origin: origin.cloned(),
            versions: table.versions_within(now, service, span),
            is_whole: table.knows_versions_within(now, span),
        }
    }

    /// Returns the peers that keep the origin of a stream: all of a small fleet, and of a large one
    /// the same few for all instances.
    #[must_use]
    pub fn stream_keepers(&self, key: StreamKey) -> Vec<SocketAddr> {
        self.peers_by_hash("keep", &key.to_string())
    }

    /// Returns the peers to ask for the origin of a stream. Silent ones are left out of a small
    /// fleet, unless all are silent: an instance that asks nobody is contradicted by nobody, and may
    /// be the one that is cut off.
    #[must_use]
    pub fn stream_keepers_to_ask(&self, now: Duration, key: StreamKey) -> Vec<SocketAddr> {
        let keepers = self.stream_keepers(key);
        if self.is_large_fleet() {
            return keepers;
        }
        let members = self.members.values();
        let heard = members
            .filter(|member| now.saturating_sub(member.received_at) < DIGEST_AGE_MAX)
            .map(|member| member.address);
        let heard: Vec<SocketAddr> = heard.collect();
        if heard.is_empty() { keepers } else { heard }
    }

    /// Returns own streams that were not reported yet, by origin. Streams of a service with one
    /// version need no report.
    pub fn take_streams_to_report(
        &mut self,
        now: Duration,
        most: usize,
    ) -> BTreeMap<StreamOrigin, (Duration, Vec<StreamKey>)> {
        if self.members.is_empty() {
            return BTreeMap::new();
        }
        let mut origins = std::mem::take(&mut self.stream_origins);
        let taken = origins.take_unreported(now, most, |origin, lifetime| {
            self.needs_stream_reports(now, &origin.service, lifetime)
        });
        self.stream_origins = origins;
        taken
    }

    /// Returns whether streams of a service are reported to peers: where its targets have several
    /// versions, or may have had, as far as this instance knows.
    #[must_use]
    pub fn needs_stream_reports(&self, now: Duration, service: &str, span: Duration) -> bool {
        !self.target_table.has_one_version(now, service, span)
    }
}
