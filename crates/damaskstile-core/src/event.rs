//! Inputs of an instance.

use serde::{Deserialize, Serialize};

use crate::ids::{CallId, InstanceId, RequestHandle, RequestKey, RunId, TargetId};
use crate::peer::PeerMessage;
use crate::report::RunReport;
use crate::request::NewRequest;
use crate::store::{Object, StoreAnswer};
use crate::target::{TargetInfo, TargetStatus};

/// `Event` is one input of an instance. Events may be delayed, duplicated, reordered or lost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Time has advanced.
    Tick,
    /// A caller sent a request.
    Request(NewRequest),
    /// A caller disconnected before its answer was complete.
    CallerGone {
        /// Handle of the abandoned call.
        request: RequestHandle,
    },
    /// The store answered a call, or the answer was lost.
    Store {
        /// Id of the store call.
        call: CallId,
        /// Answer to the call.
        answer: StoreAnswer,
    },
    /// A watch, or a read in its place, returned an object.
    Changed {
        /// Key of the object.
        key: String,
        /// Current value and version of the object.
        object: Object,
    },
    /// A target reported on a run.
    Run {
        /// Id of the run.
        run: RunId,
        /// Report of the target.
        report: RunReport,
    },
    /// The platform's list of targets was received. The list lags behind the actual state.
    Targets {
        /// All targets in the list.
        targets: Vec<TargetInfo>,
    },
    /// A target was probed for its load and whether it is leaving.
    TargetStatus {
        /// Name of the target.
        target: TargetId,
        /// Status of the target; `None` if it did not answer.
        status: Option<TargetStatus>,
    },
    /// A peer sent a message.
    Peer {
        /// Name of the sender.
        from: InstanceId,
        /// Incarnation of the sender.
        incarnation: u64,
        /// Received message.
        message: PeerMessage,
    },
    /// A caller asks for the state of a request of its account.
    Explain {
        /// Handle of the call that asks.
        request: RequestHandle,
        /// SHA-256 of the bearer token, in lower-case hexadecimal.
        token_sha256: String,
        /// Key of the request asked about.
        key: RequestKey,
    },
    /// The instance must stop: accept no new work, finish open requests, and hand back what it
    /// holds.
    Stop,
}
