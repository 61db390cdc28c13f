//! `digest` tells what an instance knows, in a few hundred bytes.

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
    /// Version of the list of targets.
    #[prost(uint64, tag = "3")]
    pub targets_version: u64,
    /// Milliseconds since the store last answered the sender.
    #[prost(uint64, tag = "4")]
    pub store_age_ms: u64,
    /// Targets that drain or have ended.
    #[prost(string, repeated, tag = "5")]
    pub leaving: Vec<String>,
    /// Targets that vanished from the list.
    #[prost(string, repeated, tag = "8")]
    pub vanished: Vec<String>,
    /// Versions of the list at which these were gone.
    #[prost(uint64, repeated, tag = "12")]
    pub vanished_at: Vec<u64>,
    /// Tokens that the sender could reserve at once.
    #[prost(message, repeated, tag = "6")]
    pub free: Vec<AccountTokens>,
    /// Whether the sender watches the store for others and may write to the ledger for them.
    #[prost(bool, tag = "9")]
    pub is_steward: bool,
    /// Instances that the sender knows of, itself among them.
    #[prost(uint64, tag = "11")]
    pub known_instances: u64,
    /// Part of a core that the sender has, in percent.
    #[prost(uint64, tag = "10")]
    pub capacity_percent: u64,
    /// Whether the sender is being stopped.
    #[prost(bool, tag = "7")]
    pub is_stopping: bool,
}

impl Digest {
    /// Returns the targets that vanished from the list with the versions at which they were gone.
    pub(super) fn vanished_with_versions(&self) -> impl Iterator<Item = (&String, u64)> {
        let versions = self.vanished_at.iter().copied();
        // The sender's list does not name them either.
        let versions = versions.chain(std::iter::repeat(self.targets_version));
        self.vanished.iter().zip(versions)
    }
}
