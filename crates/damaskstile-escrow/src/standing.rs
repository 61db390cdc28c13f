//! `standing` is how an account stands in a ledger.

/// `Standing` is how an account stands in a ledger, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_field_names)] // fields carry their unit
pub struct Standing {
    /// What the account has bought.
    pub bought_tokens: u64,
    /// What counts as spent.
    pub settled_tokens: u64,
    /// What instances hold, those that ended among them.
    pub granted_tokens: u64,
}
