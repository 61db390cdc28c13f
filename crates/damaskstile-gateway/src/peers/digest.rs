//! Digests: the periodic summary of an instance's state, a few hundred bytes in size.

use damaskstile_core::prelude::*;

use super::{
    BulkLoadReport, LimitReport, LoadReport, LostRunsReport, PeerReport, RejectionLimitReport,
    SpeedReport, SuspectReport, TargetReport,
};

/// `AccountTokens` is a number of tokens of one account.
#[derive(prost::Message, Clone, PartialEq)]
pub struct AccountTokens {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// `Digest` summarises what an instance knows.
#[derive(prost::Message, Clone, PartialEq)]
pub struct Digest {
    /// The sender's wall clock, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub unix_ms: u64,
    /// Version of the catalogue in force.
    #[prost(uint64, tag = "2")]
    pub catalogue_version: u64,
    /// Size of the stored catalogue, in bytes.
    #[prost(uint64, tag = "17")]
    pub catalogue_bytes: u64,
    /// Version of the list of targets.
    #[prost(uint64, tag = "3")]
    pub targets_version: u64,
    /// Milliseconds since the store last answered the sender.
    #[prost(uint64, tag = "4")]
    pub store_age_ms: u64,
    /// Targets without a stated start that are draining or have ended.
    #[prost(string, repeated, tag = "5")]
    pub leaving: Vec<String>,
    /// Targets without a stated start that were delisted.
    #[prost(string, repeated, tag = "8")]
    pub delisted: Vec<String>,
    /// Incarnations that are draining or have ended.
    #[prost(message, repeated, tag = "12")]
    pub leaving_incarnations: Vec<TargetReport>,
    /// Incarnations that were delisted.
    #[prost(message, repeated, tag = "13")]
    pub delisted_incarnations: Vec<TargetReport>,
    /// List versions at which the delisted targets were gone: first for the targets without a
    /// stated start, then for the others.
    #[prost(uint64, repeated, tag = "14")]
    pub delisted_at: Vec<u64>,
    /// Tokens that the sender could reserve immediately, by account.
    #[prost(message, repeated, tag = "6")]
    pub free: Vec<AccountTokens>,
    /// Whether the sender watches the store for other instances and may write to the ledger for
    /// them.
    #[prost(bool, tag = "9")]
    pub is_watcher: bool,
    /// Number of instances that the sender knows of, itself included.
    #[prost(uint64, tag = "11")]
    pub known_instances: u64,
    /// Processor capacity of the sender, in percent of a core.
    #[prost(uint64, tag = "10")]
    pub capacity_percent: u64,
    /// Data centre of the sender.
    #[prost(string, tag = "15")]
    pub data_centre: String,
    /// The best-ranked writer, other than the sender, that the sender knows to be in touch with the
    /// store.
    #[prost(message, optional, boxed, tag = "16")]
    pub writer: Option<Box<PeerReport>>,
    /// Contents that are suspected of ending targets.
    #[prost(message, repeated, tag = "18")]
    pub suspects: Vec<SuspectReport>,
    /// Store version of the sender's list of evacuated data centres; 0 if it has none.
    #[prost(uint64, tag = "19")]
    pub evacuated_version: u64,
    /// The evacuated data centres.
    #[prost(string, repeated, tag = "20")]
    pub evacuated: Vec<String>,
    /// Call limits that targets advertise, or advertised until recently.
    #[prost(message, repeated, tag = "21")]
    pub limits: Vec<LimitReport>,
    /// Load of bulk prompts at the sender, of the services with the largest.
    #[prost(message, repeated, tag = "27")]
    pub bulk_loads: Vec<BulkLoadReport>,
    /// Version of the ledger that the sender holds.
    #[prost(uint64, tag = "22")]
    pub ledger_version: u64,
    /// History of the store, as last reported to the sender by the store or by another instance.
    #[prost(uint64, tag = "23")]
    pub store_history: u64,
    /// Number of instances that the sender knows by name, itself included.
    #[prost(uint64, tag = "24")]
    pub discovered_instances: u64,
    /// Targets that the sender found faster or slower than predicted.
    #[prost(message, repeated, tag = "28")]
    pub speeds: Vec<SpeedReport>,
    /// Runs that crashed targets cut, by service.
    #[prost(message, repeated, tag = "29")]
    pub lost_runs: Vec<LostRunsReport>,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "7")]
    pub is_stopping: bool,
    /// Services whose targets peers reach and the sender itself does not.
    #[prost(string, repeated, tag = "30")]
    pub partitioned_services: Vec<String>,
    /// Rejected calls that brittle targets withstand, or withstood until recently, by service.
    #[prost(message, repeated, tag = "31")]
    pub rejection_limits: Vec<RejectionLimitReport>,
    /// Load of the sender.
    #[prost(message, optional, boxed, tag = "25")]
    pub load: Option<Box<LoadReport>>,
}

impl Digest {
    /// Adds the targets that are leaving, and the delisted ones with the list versions at which
    /// they were gone.
    #[must_use]
    pub fn with_departures(
        mut self,
        leaving: &[TargetIdentity],
        delisted: &[(TargetIdentity, Version)],
    ) -> Self {
        (self.leaving, self.leaving_incarnations) = split(leaving);
        // The order of the versions must match the order in which `delisted_with_versions` joins
        // the two lists.
        let (unstated, stated): (Vec<_>, Vec<_>) = delisted
            .iter()
            .cloned()
            .partition(|(identity, _)| identity.incarnation.is_none());
        let (delisted, versions): (Vec<_>, Vec<_>) = unstated.into_iter().chain(stated).unzip();
        (self.delisted, self.delisted_incarnations) = split(&delisted);
        self.delisted_at = versions;
        self
    }

    /// Returns the targets that are draining or have ended.
    #[must_use]
    pub fn all_leaving(&self) -> Vec<TargetIdentity> {
        join(&self.leaving, &self.leaving_incarnations)
    }

    /// Returns the delisted targets with the list versions at which they were gone.
    #[must_use]
    pub fn delisted_with_versions(&self) -> Vec<(TargetIdentity, Version)> {
        let versions = self.delisted_at.iter().copied();
        // Delisted targets without a version get that of the sender's list, which does not name
        // them either.
        let versions = versions.chain(std::iter::repeat(self.targets_version));
        join(&self.delisted, &self.delisted_incarnations)
            .into_iter()
            .zip(versions)
            .collect()
    }
}

fn split(identities: &[TargetIdentity]) -> (Vec<String>, Vec<TargetReport>) {
    let is_unstated = |identity: &&TargetIdentity| identity.incarnation.is_none();
    let unstated = identities.iter().filter(is_unstated);
    let unstated = unstated.map(|identity| identity.target.clone()).collect();
    let stated = identities.iter().filter_map(TargetReport::of).collect();
    (unstated, stated)
}

fn join(unstated: &[String], stated: &[TargetReport]) -> Vec<TargetIdentity> {
    let unstated = unstated
        .iter()
        .map(|target| TargetIdentity::new(target, None));
    unstated
        .chain(stated.iter().map(TargetReport::identity))
        .collect()
}
