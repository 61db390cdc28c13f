//! Outputs of an instance, which its host carries out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::explanation::Explanation;
use crate::ids::{
    AccountId, CallId, InstanceId, RequestHandle, RequestKey, RunId, ServiceId, TargetId,
};
use crate::log::LogEvent;
use crate::outcome::Outcome;
use crate::peer::PeerMessage;
use crate::request::Priority;
use crate::store::StoreCall;

/// `Dispatch` tells the host to send a request to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatch {
    /// Id of the run, which is also sent to the target.
    pub run: RunId,
    /// Handle of the caller's request, whose body the host holds.
    pub request: RequestHandle,
    /// Target to send to.
    pub target: TargetId,
    /// Address of the target.
    pub address: String,
    /// Client account that pays.
    pub account: AccountId,
    /// Key of the request.
    pub key: RequestKey,
    /// Service that is addressed.
    pub service: ServiceId,
    /// Maximum size of the output, in tokens. It is sent to the target, and a stream that reaches
    /// it is cancelled.
    pub cap_tokens: u64,
    /// Index of the first chunk that is still missing. The run is resumed if it is above 0.
    pub resume_from: u64,
    /// Priority in the target's queue.
    pub priority: Priority,
    /// Time after which the host must not send the request any more, on the clock of the events.
    pub expires_at: Duration,
}

/// `Effect` is one output of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Call the store and return the answer under the same id.
    Store {
        /// Id of the call.
        call: CallId,
        /// Call to make.
        request: StoreCall,
    },
    /// Start or stop watching the settings in the store.
    WatchSettings {
        /// Whether to watch. Instances that do not watch receive the settings from peers.
        is_watching: bool,
    },
    /// Send a message to a peer. It may get lost.
    Send {
        /// Name of the peer.
        to: InstanceId,
        /// Message to send.
        message: PeerMessage,
    },
    /// Send a request to a target and report each chunk of its answer.
    Dispatch(Dispatch),
    /// Cancel a run.
    Cancel {
        /// Id of the run.
        run: RunId,
        /// Target that runs it.
        target: TargetId,
    },
    /// Ask a target for the state of a run.
    Inquire {
        /// Id of the run.
        run: RunId,
        /// Target to ask.
        target: TargetId,
        /// Address of the target; empty if it is no longer known.
        address: String,
    },
    /// Ask a target for its load and whether it is leaving.
    Probe {
        /// Name of the target.
        target: TargetId,
        /// Address of the target.
        address: String,
    },
    /// Tell the host the key of an accepted request.
    Accepted {
        /// Handle of the call.
        request: RequestHandle,
        /// Key of the request.
        key: RequestKey,
        /// The client account that the token belongs to.
        account: AccountId,
    },
    /// Tell the host that the tokens of the request are reserved. The host uses this for its
    /// histograms.
    Reserved {
        /// Handle of the call.
        request: RequestHandle,
    },
    /// Release the body of a request, which will not be sent any more.
    BodyDone {
        /// Handle of the call.
        request: RequestHandle,
    },
    /// Relay a chunk of the answer to the caller.
    Relay {
        /// Handle of the call.
        request: RequestHandle,
        /// Data of the chunk.
        data: String,
    },
    /// Send the final outcome to the caller. No further effects follow for this call.
    Answer {
        /// Handle of the call.
        request: RequestHandle,
        /// Final outcome.
        outcome: Outcome,
    },
    /// Answer a question of a caller about the state of a request.
    Explained {
        /// Handle of the call.
        request: RequestHandle,
        /// Explanation; `None` if nothing is known of the request.
        explanation: Option<Explanation>,
    },
    /// Write an event to the log.
    Log(LogEvent),
    /// All work is finished and all holdings are returned. The host may exit.
    Stopped,
}
