//! `damaskstile-requests` follows requests: their claims, their retries and their answers.

pub mod answer;
pub mod claim;
pub mod claims;
pub mod retries;

pub use answer::{Assembled, Assembly};
pub use claim::{Claim, ClaimState, ClaimTable};
pub use claims::{ClaimEffect, ClaimShard};
pub use retries::RetryBudget;
