//! `shortage` tells why tokens could not be reserved.

/// `Shortage` tells why tokens could not be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The account's tokens are spent: no instance has enough, by a recent look at the ledger.
    Exhausted,
    /// What is left is kept for more urgent calls of the account.
    Reserved,
    /// A round with the store brings them within milliseconds.
    InStore,
    /// Other instances may have tokens, or nobody can be asked.
    Elsewhere,
}

impl Shortage {
    /// Returns the name for logs and metrics.
    ///
    /// ```
    /// assert_eq!(damaskstile_escrow::Shortage::Exhausted.as_str(), "exhausted");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Exhausted => "exhausted",
            Self::Reserved => "reserved",
            Self::InStore => "in_store",
            Self::Elsewhere => "elsewhere",
        }
    }
}
