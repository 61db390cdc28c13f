//! Input of grant policies.

/// Request for a grant, from which a policy decides the grant's size.
#[derive(Debug)]
pub struct GrantRequest<'a> {
    /// Requesting instance.
    pub instance: &'a str,
    /// Number of instances in the fleet.
    pub instances: u64,
    /// Tokens needed immediately.
    pub need_tokens: u64,
    /// Tokens wanted according to the spending rate.
    pub want_tokens: u64,
}
