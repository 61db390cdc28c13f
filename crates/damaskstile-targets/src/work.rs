//! `work` is what a call asks of a target, as far as the choice goes by it.

/// `Part` is a piece of a prompt that other calls may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name of the part.
    pub name: u64,
    /// Its length.
    pub tokens: u64,
}

/// `Work` is what a call asks of a target, as far as the choice goes by it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Work {
    /// Length of the whole prompt; 0 for plain services.
    pub prompt_tokens: u64,
    /// Most tokens that are generated.
    pub output_tokens: u64,
    /// Parts of the prompt in their order.
    pub parts: Vec<Part>,
}
