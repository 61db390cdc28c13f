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
pub mod origin_lookup;
pub mod quarantine_changes;
pub mod retries;
pub mod send_failure_kind;
mod sound_parts;
pub mod stream_origin;
pub mod stream_origins;
mod suspect;
pub mod suspect_report;
pub mod suspects;
pub mod target_crash;

pub use answer::{Assembled, Assembly};
pub use attempts::{Attempts, NextStep};
pub use claim::{Claim, ClaimState};
pub use claim_op::ClaimOp;
pub use claim_table::ClaimTable;
pub use claims::{ClaimEffect, ClaimShard};
pub use content::Content;
pub use fingerprint::Fingerprint;
pub use origin_lookup::{OriginAnswer, OriginLookup};
pub use quarantine_changes::QuarantineChanges;
pub use retries::RetryBudget;
pub use send_failure_kind::SendFailureKind;
pub use stream_origin::{StreamKey, StreamOrigin};
pub use stream_origins::{StreamOrigins, StreamsByOrigin};
pub use suspect_report::SuspectReport;
pub use suspects::Suspects;
pub use target_crash::TargetCrash;
