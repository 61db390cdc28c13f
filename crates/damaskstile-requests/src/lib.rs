//! Request handling of an instance: claims of non-idempotent requests, retries, assembly of
//! answers, and quarantine of contents that crash targets.

pub mod answer;
pub mod attempts;
pub mod claim;
pub mod claim_op;
pub mod claim_table;
pub mod claims;
pub mod content;
pub mod fingerprint;
pub mod retries;
pub mod send_end;
mod suspect;
pub mod suspect_report;
pub mod suspects;
pub mod target_crash;
pub mod verdicts;

pub use answer::{Assembled, Assembly};
pub use attempts::{Attempts, Next};
pub use claim::{Claim, ClaimState};
pub use claim_op::ClaimOp;
pub use claim_table::ClaimTable;
pub use claims::{ClaimEffect, ClaimShard};
pub use content::Content;
pub use fingerprint::Fingerprint;
pub use retries::RetryBudget;
pub use send_end::SendEnd;
pub use suspect_report::SuspectWord;
pub use suspects::Suspects;
pub use target_crash::TargetCrash;
pub use verdicts::Verdicts;
