//! `event` lists all that can happen to an instance.

use serde::{Deserialize, Serialize};

use crate::ids::{CallId, InstanceId, RequestHandle, RequestKey, RunId, TargetId};
use crate::peer::PeerMessage;
use crate::report::RunReport;
use crate::request::NewRequest;
use crate::store::{Object, StoreAnswer};
use crate::target::{TargetInfo, TargetStatus};

/// `Event` is one input of an instance. Events may come late, twice, out of order or never.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Time went on.
    Tick,
    /// A caller sent a request.
    Request(NewRequest),
    /// A caller went away before its answer was whole.
    CallerGone {
        /// The call that was dropped.
        request: RequestHandle,
    },
    /// The store answered a call.
    Store {
        /// The call that is answered.
        call: CallId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// A watch, or a read in its place, showed an object.
    Changed {
        /// Key of the object.
        key: String,
        /// The object as it stands.
        object: Object,
    },
    /// A target spoke of a run.
    Run {
        /// The run.
        run: RunId,
        /// What was said.
        report: RunReport,
    },
    /// The platform's list of targets came in. It lags.
    Targets {
        /// All targets on the list.
        targets: Vec<TargetInfo>,
    },
    /// A target reported its load and whether it leaves.
    TargetStatus {
        /// The target.
        target: TargetId,
        /// Its report; `None` where it did not answer.
        status: Option<TargetStatus>,
    },
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: InstanceId,
        /// The sender's incarnation.
        incarnation: u64,
        /// The message.
        message: PeerMessage,
    },
    /// A caller asks what became of a request of its account.
    Explain {
        /// The call.
        request: RequestHandle,
        /// SHA-256 of the bearer token, in lower-case hexadecimal.
        token_sha256: String,
        /// Key of the request asked about.
        key: RequestKey,
    },
    /// The instance is to stop: no new work, finish what runs, hand back what it holds.
    Stop,
}
