//! Account that uses most of an instance.

use damaskstile_core::ids::AccountId;

/// Account whose calls need most of an instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BusiestAccount {
    /// The account.
    pub account: AccountId,
    /// Share that its calls need of the instance's link or processor, whichever is higher.
    pub share: f64,
    /// Rate at which its calls request tokens.
    pub tokens_per_s: u64,
}
