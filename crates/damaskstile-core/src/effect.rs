//! `effect` lists all that an instance can ask of its host.

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
    /// Name of this run; the target knows the run by it.
    pub run: RunId,
    /// The caller's request, whose body the host holds.
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
    /// Cap of the output in tokens; the target gets it, and the stream is cancelled at it.
    pub cap_tokens: u64,
    /// First chunk that is still missing; above 0 the run is resumed.
    pub resume_from: u64,
    /// Priority for the target's queue.
    pub priority: Priority,
    /// Time after which the host must not send any more, on the clock of the events.
    pub expires_at: Duration,
}

/// `Effect` is one output of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Call the store and give back the answer under the same id.
    Store {
        /// Id for the answer.
        call: CallId,
        /// The call.
        request: StoreCall,
    },
    /// Watch the settings from now on, or leave that to peers.
    WatchSettings {
        /// Whether this instance is one of those that watch.
        is_watching: bool,
    },
    /// Send a message to a peer. It may get lost.
    Send {
        /// The peer.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Send a request to a target and report each piece of its answer.
    Dispatch(Dispatch),
    /// Cancel a run.
    Cancel {
        /// The run.
        run: RunId,
        /// Where it runs.
        target: TargetId,
    },
    /// Ask a target how a run went.
    Inquire {
        /// The run.
        run: RunId,
        /// The target to ask.
        target: TargetId,
        /// Address of the target; empty where it is not known any more.
        address: String,
    },
    /// Ask a target for its load and whether it leaves.
    Probe {
        /// The target.
        target: TargetId,
        /// Address of the target.
        address: String,
    },
    /// Tell the host the key under which a request is known.
    Accepted {
        /// The call.
        request: RequestHandle,
        /// Its key.
        key: RequestKey,
        /// The client account that the token belongs to.
        account: AccountId,
    },
    /// Tell the host that the request's tokens are reserved, for its histograms.
    Reserved {
        /// The call.
        request: RequestHandle,
    },
    /// Let go of the body of a call's request; it will not be sent any more.
    BodyDone {
        /// The call.
        request: RequestHandle,
    },
    /// Give a piece of the answer to the caller.
    Relay {
        /// The call.
        request: RequestHandle,
        /// The piece.
        data: String,
    },
    /// Give the final word to the caller. Nothing follows for this call.
    Answer {
        /// The call.
        request: RequestHandle,
        /// The final word.
        outcome: Outcome,
    },
    /// Tell a caller what became of a request.
    Explained {
        /// The call.
        request: RequestHandle,
        /// What is known; `None` where nothing is.
        explanation: Option<Explanation>,
    },
    /// Write a numbered event to the log.
    Log(LogEvent),
    /// All work is done and handed back; the host may end.
    Stopped,
}
