//! Status snapshot of the instance for operators, updated a few times a second.

use std::sync::{Mutex, PoisonError};

use damaskstile::Instance;
use serde::{Deserialize, Serialize};

use crate::member_status::MemberStatus;

/// Status of the instance, as served to operators.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Name of the instance.
    pub instance: String,
    /// Whether the load balancer should send calls to this instance.
    pub is_ready: bool,
    /// Version of the settings in force on this instance.
    pub settings_version: u64,
    /// Number of requests without an outcome.
    pub open_requests: usize,
    /// Number of bills not yet written to the store.
    pub pending_entries: usize,
    /// Known peers.
    pub members: Vec<MemberStatus>,
}

/// Holds the latest snapshot.
#[derive(Debug, Default)]
pub struct Status {
    latest: Mutex<Snapshot>,
}

impl Status {
    /// Returns the latest snapshot.
    pub fn latest(&self) -> Snapshot {
        self.latest
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the snapshot by the instance's current status.
    pub fn update(&self, instance: &Instance) {
        let own = instance.membership().own();
        let members = instance
            .membership()
            .all()
            .map(|(state, is_silent)| MemberStatus {
                instance: state.instance.clone(),
                data_centre: state.data_centre.clone(),
                address: state.address.clone(),
                state: state_name(state.is_stopping, is_silent).to_owned(),
                settings_version: state.settings_version,
            })
            .collect();
        let snapshot = Snapshot {
            instance: own.instance.clone(),
            is_ready: instance.is_ready(),
            settings_version: instance.settings().version(),
            open_requests: instance.open_requests(),
            pending_entries: instance.pending_entries(),
            members,
        };
        *self.latest.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }
}

fn state_name(is_stopping: bool, is_silent: bool) -> &'static str {
    match (is_stopping, is_silent) {
        (true, _) => "stopping",
        (false, true) => "silent",
        (false, false) => "live",
    }
}
