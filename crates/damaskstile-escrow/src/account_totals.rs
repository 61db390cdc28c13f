//! Totals of an account as recorded in a ledger.

/// Totals of an account as recorded in a ledger, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_field_names)] // fields carry their unit
pub struct AccountTotals {
    /// Tokens that the account has bought.
    pub bought_tokens: u64,
    /// Tokens that count as spent.
    pub settled_tokens: u64,
    /// Tokens granted to instances, including orphaned entries.
    pub granted_tokens: u64,
}
