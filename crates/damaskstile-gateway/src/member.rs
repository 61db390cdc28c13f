//! Members: what this instance knows of a peer.

use std::net::SocketAddr;

use damaskstile_core::ids::DataCentreId;
use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use crate::peer_load::PeerLoad;
use crate::peers::{Digest, PeerReport};

/// Time after its last digest during which an instance is still reported to peers.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_mins(2);

/// `Member` is what is known of a peer from its last digest or from another peer's report.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre; empty if it does not state one.
    pub data_centre: DataCentreId,
    /// Its address for messages from peers.
    pub address: SocketAddr,
    /// Whether it watches the store for other instances and may write to the ledger for them.
    pub is_watcher: bool,
    /// Version of its catalogue.
    pub catalogue_version: Version,
    /// Version of its list of targets.
    pub targets_version: Version,
    /// Number of instances that it knows of.
    pub known_instances: u64,
    /// Number of instances that it knows by name.
    pub discovered_instances: u64,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Its processor capacity, in percent of a core.
    pub capacity_percent: u64,
    /// Its load; `None` if it reports none.
    pub load: Option<PeerLoad>,
    /// Time between the store's last answer to it and its digest.
    pub store_age: Duration,
    /// When its digest was received, by this instance or by the peer that reported it.
    pub received_at: Duration,
    /// Whether it is known only from a peer's report and no digest of it was received yet.
    pub is_reported: bool,
    /// Services whose targets it does not reach itself.
    pub partitioned_services: BTreeSet<ServiceId>,
    /// Tokens that it could reserve immediately, by account.
    pub free_tokens: BTreeMap<AccountId, u64>,
}

impl Member {
    /// Makes a member from its digest.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        address: SocketAddr,
        now: Duration,
        digest: &Digest,
    ) -> Self {
        let free_tokens = digest
            .free
            .iter()
            .map(|free| (free.account.clone(), free.tokens))
            .collect();
        Self {
            incarnation,
            data_centre: digest.data_centre.clone(),
            address,
            is_watcher: digest.is_watcher,
            catalogue_version: digest.catalogue_version,
            targets_version: digest.targets_version,
            known_instances: digest.known_instances,
            discovered_instances: digest.discovered_instances,
            is_stopping: digest.is_stopping,
            capacity_percent: digest.capacity_percent,
            load: digest.load.as_ref().map(|load| load.to_load(now)),
            store_age: Duration::from_millis(digest.store_age_ms),
            received_at: now,
            is_reported: false,
            partitioned_services: digest.partitioned_services.iter().cloned().collect(),
            free_tokens,
        }
    }

    /// Makes a member from a peer's report, which says where the member is but not which data it
    /// has. Returns `None` if the address is invalid or the report is too old to show that the
    /// member still exists.
    #[must_use]
    pub fn from_report(now: Duration, report: &PeerReport) -> Option<Self> {
        let received_age = Duration::from_millis(report.received_age_ms);
        if received_age > REPORT_LIFETIME {
            return None;
        }
        let digest = Digest {
            data_centre: report.data_centre.clone(),
            capacity_percent: report.capacity_percent,
            store_age_ms: u64::MAX,
            ..Digest::default()
        };
        let address = report.address.parse().ok()?;
        Some(Self {
            received_at: now.saturating_sub(received_age),
            is_reported: true,
            ..Self::new(report.incarnation, address, now, &digest)
        })
    }

    /// Returns the report of this member for a peer; `None` if its last digest is too old.
    #[must_use]
    pub fn report(&self, now: Duration, instance: &str) -> Option<PeerReport> {
        let received_age = now.saturating_sub(self.received_at);
        (received_age <= REPORT_LIFETIME).then(|| PeerReport {
            instance: instance.to_owned(),
            incarnation: self.incarnation,
            address: self.address.to_string(),
            data_centre: self.data_centre.clone(),
            capacity_percent: self.capacity_percent,
            store_age_ms: unix_ms(self.store_age),
            received_age_ms: unix_ms(received_age),
        })
    }
}
