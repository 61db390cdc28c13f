//! Versions of software that began streams, as far as this instance knows.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_requests::{OriginAnswer, StreamKey, StreamOrigin, StreamsByOrigin};

use super::{MEMBER_AGE_MAX, State};

/// Age past which an instance of a small fleet that sends no digests is not asked.
const DIGEST_AGE_MAX: Duration = Duration::from_secs(6);
/// Number of peers that hand over the same record, in case one of them has just ended.
const HAND_OVERS: u64 = 2;

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

    /// Returns own streams that were not reported yet, by origin. They wait until a peer is known.
    pub fn take_streams_to_report(&mut self, now: Duration, most: usize) -> StreamsByOrigin {
        if self.members.is_empty() {
            return StreamsByOrigin::new();
        }
        self.stream_origins.take_unreported(now, most)
    }

    /// Returns the records to hand over to a peer that has just started: of own streams, and this
    /// instance's share of the others. In a large fleet the few keepers of a stream seldom restart
    /// within its time, so nothing is handed over.
    #[must_use]
    pub fn streams_to_hand_over(&self, now: Duration, newcomer: &str) -> StreamsByOrigin {
        if self.is_large_fleet() {
            return StreamsByOrigin::new();
        }
        let others = self.members.iter();
        let others = others.filter(|(name, member)| {
            name.as_str() != newcomer && now.saturating_sub(member.received_at) < MEMBER_AGE_MAX
        });
        let (mut holders, mut position) = (1, 0);
        for (name, _) in others {
            holders += 1;
            position += StreamKey::from(*name < self.instance);
        }
        self.stream_origins
            .to_hand_over(now, |key| (key + position) % holders < HAND_OVERS)
    }

    /// Returns whether streams are to be reported without much delay: this instance stops, or another
    /// version than the one that began them is listed.
    #[must_use]
    pub fn must_report_streams_soon(&self) -> bool {
        let table = &self.target_table;
        let mut has_other =
            |origin: &StreamOrigin| table.has_other_version(&origin.service, &origin.version);
        self.is_stopping || self.stream_origins.any_unreported(&mut has_other)
    }
}
