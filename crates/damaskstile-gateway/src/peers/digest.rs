//! `digest` tells what an instance knows, in a few hundred bytes.

use damaskstile_core::prelude::*;

use super::{PeerWord, ToldLimit, ToldSuspect, ToldTarget};

/// `AccountTokens` are tokens of one account.
#[derive(prost::Message, Clone, PartialEq)]
pub struct AccountTokens {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// `Digest` tells what an instance knows.
#[derive(prost::Message, Clone, PartialEq)]
pub struct Digest {
    /// The sender's time of day, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub unix_ms: u64,
    /// Version of the catalogue in force.
    #[prost(uint64, tag = "2")]
    pub catalogue_version: u64,
    /// Size of that catalogue as stored.
    #[prost(uint64, tag = "17")]
    pub catalogue_bytes: u64,
    /// Version of the list of targets.
    #[prost(uint64, tag = "3")]
    pub targets_version: u64,
    /// Milliseconds since the store last answered the sender.
    #[prost(uint64, tag = "4")]
    pub store_age_ms: u64,
    /// Targets that drain or have ended, and do not state their starts.
    #[prost(string, repeated, tag = "5")]
    pub leaving: Vec<String>,
    /// Targets that vanished from the list, and do not state their starts.
    #[prost(string, repeated, tag = "8")]
    pub vanished: Vec<String>,
    /// Incarnations that drain or have ended.
    #[prost(message, repeated, tag = "12")]
    pub leaving_incarnations: Vec<ToldTarget>,
    /// Incarnations that vanished from the list.
    #[prost(message, repeated, tag = "13")]
    pub vanished_incarnations: Vec<ToldTarget>,
    /// Versions of the list at which those that vanished were gone: first of the targets that do not
    /// state their starts, then of the others.
    #[prost(uint64, repeated, tag = "14")]
    pub vanished_at: Vec<u64>,
    /// Tokens that the sender could reserve at once.
    #[prost(message, repeated, tag = "6")]
    pub free: Vec<AccountTokens>,
    /// Whether the sender watches the store for others and may write to the ledger for them.
    #[prost(bool, tag = "9")]
    pub is_watcher: bool,
    /// Instances that the sender knows of, itself among them.
    #[prost(uint64, tag = "11")]
    pub known_instances: u64,
    /// Part of a core that the sender has, in percent.
    #[prost(uint64, tag = "10")]
    pub capacity_percent: u64,
    /// Data centre that the sender stands in.
    #[prost(string, tag = "15")]
    pub data_centre: String,
    /// The best writer that the sender knows to be in touch with the store, other than itself.
    #[prost(message, optional, tag = "16")]
    pub writer: Option<PeerWord>,
    /// Contents under which targets ended.
    #[prost(message, repeated, tag = "18")]
    pub suspects: Vec<ToldSuspect>,
    /// Version of the store as of which the sender knows which data centres are emptied; 0 for none.
    #[prost(uint64, tag = "19")]
    pub emptied_version: u64,
    /// Those data centres.
    #[prost(string, repeated, tag = "20")]
    pub emptied: Vec<String>,
    /// Limits of calls that targets name, or named until lately.
    #[prost(message, repeated, tag = "21")]
    pub limits: Vec<ToldLimit>,
    /// Version of the ledger that the sender remembers.
    #[prost(uint64, tag = "22")]
    pub ledger_version: u64,
    /// History that the store is in, by its word to the sender or to another.
    #[prost(uint64, tag = "23")]
    pub store_history: u64,
    /// Instances that it has heard of by name, itself among them.
    #[prost(uint64, tag = "24")]
    pub heard_instances: u64,
    /// Whether the sender is being stopped.
    #[prost(bool, tag = "7")]
    pub is_stopping: bool,
}

impl Digest {
    /// Tells which targets are leaving, and which vanished from the list at which versions of it.
    #[must_use]
    pub fn with_departures(
        mut self,
        leaving: &[TargetIdentity],
        vanished: &[(TargetIdentity, Version)],
    ) -> Self {
        (self.leaving, self.leaving_incarnations) = split(leaving);
        // The versions stand in the order in which the two kinds are read again.
        let (unstated, stated): (Vec<_>, Vec<_>) = vanished
            .iter()
            .cloned()
            .partition(|(identity, _)| identity.incarnation.is_none());
        let (vanished, versions): (Vec<_>, Vec<_>) = unstated.into_iter().chain(stated).unzip();
        (self.vanished, self.vanished_incarnations) = split(&vanished);
        self.vanished_at = versions;
        self
    }

    /// Returns the targets that drain or have ended.
    #[must_use]
    pub fn all_leaving(&self) -> Vec<TargetIdentity> {
        join(&self.leaving, &self.leaving_incarnations)
    }

    /// Returns the targets that vanished from the list, with the versions at which they were gone.
    #[must_use]
    pub fn vanished_with_versions(&self) -> Vec<(TargetIdentity, Version)> {
        let versions = self.vanished_at.iter().copied();
        // The sender's list does not name them either.
        let versions = versions.chain(std::iter::repeat(self.targets_version));
        join(&self.vanished, &self.vanished_incarnations)
            .into_iter()
            .zip(versions)
            .collect()
    }
}

fn split(identities: &[TargetIdentity]) -> (Vec<String>, Vec<ToldTarget>) {
    let is_unstated = |identity: &&TargetIdentity| identity.incarnation.is_none();
    let unstated = identities.iter().filter(is_unstated);
    let unstated = unstated.map(|identity| identity.target.clone()).collect();
    let stated = identities.iter().filter_map(ToldTarget::of).collect();
    (unstated, stated)
}

fn join(unstated: &[String], stated: &[ToldTarget]) -> Vec<TargetIdentity> {
    let unstated = unstated
        .iter()
        .map(|target| TargetIdentity::new(target, None));
    unstated
        .chain(stated.iter().map(ToldTarget::identity))
        .collect()
}
