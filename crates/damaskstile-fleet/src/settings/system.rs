//! Settings of the deployment, which cannot be overridden.

use serde::{Deserialize, Serialize};

use super::check_range;
use crate::errors::Result;

/// `SystemSettings` holds the settings of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SystemSettings {
    /// Number of instances in the fleet, by which grants are sized.
    pub instances: u64,
    /// Number of retries allowed per hundred requests.
    pub retry_percent: u64,
    /// Maximum number of requests that wait at one instance for the targets of a service.
    pub queue_requests: u64,
    /// Maximum time that a request waits for a target, in milliseconds.
    pub queue_wait_ms: u64,
    /// Age of the last evidence from a target above which it is probed before it gets new work, in
    /// milliseconds.
    pub target_evidence_ms: u64,
    /// Silence of a peer after which its grants are closed, in milliseconds.
    pub seal_after_ms: u64,
    /// Time for which an instance still accepts work after it is told to stop, in milliseconds.
    pub stop_grace_ms: u64,
    /// Retention period of claims of non-idempotent requests, in seconds.
    pub claims_kept_s: u64,
}

impl Default for SystemSettings {
    fn default() -> Self {
        Self {
            instances: 3,
            retry_percent: 10,
            queue_requests: 128,
            queue_wait_ms: 2_000,
            target_evidence_ms: 3_000,
            seal_after_ms: 10_000,
            stop_grace_ms: 1_000,
            claims_kept_s: 86_400,
        }
    }
}

impl SystemSettings {
    pub(super) fn check(&self) -> Result<()> {
        let ranges = [
            ("instances", self.instances, 1, 10_000),
            ("retry_percent", self.retry_percent, 0, 100),
            ("queue_requests", self.queue_requests, 0, 100_000),
            ("queue_wait_ms", self.queue_wait_ms, 0, 600_000),
            ("target_evidence_ms", self.target_evidence_ms, 200, 10_000),
            ("seal_after_ms", self.seal_after_ms, 1_000, 3_600_000),
            ("stop_grace_ms", self.stop_grace_ms, 0, 60_000),
            ("claims_kept_s", self.claims_kept_s, 600, 30 * 86_400),
        ];
        for (key, value, least, most) in ranges {
            check_range("system", key, Some(value), least, most)?;
        }
        Ok(())
    }
}
