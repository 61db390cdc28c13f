//! Reasons why tokens could not be reserved.

/// Reason why tokens could not be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The account's tokens are spent: according to a recently seen ledger, no instance has enough.
    Exhausted,
    /// The remaining tokens are reserved for more urgent calls of the account.
    Reserved,
    /// The store has the tokens; a round brings them within milliseconds.
    InStore,
    /// The tokens may be at other instances, or the store cannot be reached.
    Elsewhere,
}

impl Shortage {
    /// Returns the name used in logs and metrics.
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
