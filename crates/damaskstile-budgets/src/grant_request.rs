//! `grant_request` holds what a policy decides on.

/// `GrantRequest` is what a policy decides on.
#[derive(Debug)]
pub struct GrantRequest<'a> {
    /// Instance that asks.
    pub instance: &'a str,
    /// Instances of the fleet.
    pub instances: u64,
    /// Tokens needed now.
    pub need_tokens: u64,
    /// Tokens wanted by the rate of spending.
    pub want_tokens: u64,
}
