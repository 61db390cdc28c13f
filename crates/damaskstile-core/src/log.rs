//! Numbered log events. `docs/EVENTS.md` is their catalogue.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

macro_rules! event_codes {
    ($($name:ident = $number:literal, $level:literal, $text:literal;)*) => {
        /// `EventCode` identifies a kind of log event. Numbers are never reused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum EventCode {
            $(#[doc = $text] $name,)*
        }

        impl EventCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number of the event.
            ///
            /// ```
            /// use damaskstile_core::log::EventCode;
            /// assert_eq!(EventCode::RequestRefused.number(), 102);
            /// ```
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the log level: `info`, `warn` or `error`.
            #[must_use]
            pub fn level(self) -> &'static str {
                match self { $(Self::$name => $level,)* }
            }

            /// Returns the meaning of the event, in one sentence.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

event_codes! {
    RequestAnswered = 101, "info", "A request was answered completely.";
    RequestRefused = 102, "info", "A request was refused as not run.";
    RequestUnknown = 103, "warn", "A request ended with an unknown outcome.";
    RunRetried = 104, "warn", "A request was sent to another target or resumed.";
    RunReportDropped = 105, "warn", "A report named a run that is not open here, or came out of order.";
    RunCapped = 106, "warn", "A target generated more than its cap and was cancelled.";
    CallAnswered = 107, "info", "A call was answered completely; with the inputs of its decisions.";
    CallRefused = 108, "info", "A call was refused as not run; with the inputs of the decision.";
    CallFailed = 109, "warn", "A call ended without a complete answer, or with the target's own failure.";
    CallerLeft = 110, "info", "A caller left before its answer was complete; its run was cancelled.";
    SendRetried = 111, "warn", "A call is sent again, to another target or over another connection.";
    CallCut = 112, "error", "A stop cut a call off before its answer was complete.";
    ContentBarred = 113, "error", "Targets ended repeatedly under calls with the same content; the content is quarantined.";
    ContentReleased = 114, "info", "A quarantined content was released; calls with it are served again.";
    RunContinued = 115, "warn", "A run whose target crashed continues at a second target from its copy, or could not: with the outcome.";
    SuccessorFailed = 116, "warn", "A target that was chosen to go on with a call did not take it: with the cause, and what became of the run before it.";
    GrantReceived = 201, "info", "Tokens were granted out of a budget.";
    GrantSealed = 202, "warn", "The grant of an unresponsive holder was closed and its unspent rest returned.";
    GrantLost = 203, "warn", "A grant of this instance was closed by its witness.";
    TokensGiven = 204, "info", "Tokens were transferred to a peer.";
    TokensTaken = 205, "info", "A transfer of tokens was accepted from a peer.";
    LedgerInvalid = 206, "error", "A stored ledger could not be read or violates its invariant; the budget is not used.";
    LedgerAnswerLost = 207, "warn", "The answer to a ledger update was lost; the ledger is read again.";
    WitnessChanged = 208, "info", "Another peer keeps the records of this instance's runs.";
    BillsFlushed = 209, "info", "Bills were stored.";
    BillDropped = 210, "warn", "A bill was dropped because its run is already accounted for.";
    RoundWritten = 211, "info", "A round of this instance was written to the ledger.";
    RoundInDoubt = 212, "warn", "The outcome of a round is unknown; tokens that it may have given up stay unused.";
    RoundRefused = 213, "info", "A round was not written, since the ledger had changed or the store refused it.";
    EstateSettled = 214, "info", "An orphaned entry of an ended incarnation was settled: its tokens were written off or returned.";
    ReportEntered = 215, "info", "A report of this instance was entered in the ledger.";
    WriterChanged = 216, "info", "Another instance writes to the ledger for this one.";
    HoldingsNoted = 217, "info", "Holdings of this instance by account, as account:bought/reserved/free now/free in all; tokens that its calls used and the ledger does not count yet, as account:tokens.";
    ClaimRepeated = 301, "info", "A non-idempotent request was repeated and not run again.";
    ClaimInvalid = 302, "error", "A stored claim table could not be read.";
    PeerFrameInvalid = 401, "warn", "A frame from a peer could not be decoded.";
    MemberJoined = 402, "info", "A peer was seen for the first time, or with a new incarnation.";
    MemberSilent = 403, "warn", "No sign of a peer was received for too long.";
    CatalogueFromPeer = 404, "info", "A newer catalogue or list of targets came from a peer.";
    PeerBytesNoted = 405, "info", "Bytes sent to peers since the start by purpose, as duty:bytes.";
    SettingsApplied = 501, "info", "A newer version of the settings is in force.";
    SettingsRefused = 502, "error", "A stored version of the settings is invalid; the version in force stays.";
    CatalogueApplied = 503, "info", "A newer catalogue of routes and accounts is in force.";
    EntryRefused = 504, "error", "A stored object cannot be used: the target of an entry is out of use until the entry is valid again; of a catalogue the last valid version stays in force.";
    OwnSettingsRead = 505, "info", "The instance's own settings were read again.";
    StoreLost = 506, "warn", "The store does not answer; the last known state stays in force.";
    StoreRegained = 507, "info", "The store answers again.";
    WatchUnanswered = 508, "warn", "A watch of the store ended without an answer, or was sent again after an outage.";
    StoreCallsNoted = 509, "info", "Calls to the store since the start, as call kind/outcome:count.";
    StoreRestored = 510, "warn", "The store was restored from an older copy: later writes are lost, and their versions are assigned again.";
    ListIncomplete = 511, "warn", "A list of the store could not be read to its end, since no name of a page leads to the next one: objects after the named one stay as they are known.";
    TargetLeaving = 601, "info", "A target is leaving and gets no new work.";
    TargetReturned = 602, "info", "A target takes work again.";
    TargetListed = 603, "info", "The list shows a new target, or one whose state changed.";
    TargetUnlisted = 604, "info", "The list no longer shows a target.";
    RunBroken = 605, "warn", "A target's connection broke under a call: what the call asked for, and whether the target has ended.";
    TargetPaused = 606, "info", "A target rejected a call and asked this instance for a backoff.";
    TargetCold = 607, "info", "A target is cold; all instances together limit their calls to what it bears.";
    DataCentreEmptied = 608, "warn", "A data centre was evacuated by the operator; nothing more is sent to its targets.";
    DataCentreTakenBack = 609, "info", "The evacuation of a data centre ended; its targets may get work again and count as cold.";
    TargetLimited = 610, "info", "A target advertises a limit of calls a second from all instances together, changed it, or withdrew it.";
    BulkTargetsChanged = 611, "info", "Another number of targets takes the bulk prompts of a service.";
    TargetSpeedChanged = 612, "info", "A target became slow compared with the others of its service, or no longer is.";
    TargetsUnreached = 613, "warn", "This instance lost its own paths to the targets of a service, which peers reach; its calls go through peers.";
    TargetsReached = 614, "info", "This instance reaches a target of the service itself again.";
    TargetsBrittle = 615, "warn", "The targets of a service state how many rejected calls a second they withstand, changed that, or withdrew it.";
    Started = 700, "info", "The instance has started.";
    StopBegan = 701, "info", "The instance accepts no new work and finishes open requests.";
    StopDone = 702, "info", "The instance has returned the tokens that it held.";
    StopCutShort = 703, "error", "The store did not accept in time what the instance returned at its stop.";
    ReadinessChanged = 704, "info", "The instance started or ceased to accept new connections; with the reason, its utilisation and that of its neighbours.";
    InstanceLoaded = 705, "warn", "The instance is overloaded on its link or processor, or its event loop is lagging: what it was busy with, and how long things took.";
    CallersReleased = 706, "warn", "Connections of callers were closed, or calls refused, so that the process stays within its memory and descriptors: how many since the last such line, by cause, and what is held.";
    HostFailed = 801, "error", "An input or output of the host failed.";
}

/// `LogEvent` is one log event with its fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEvent {
    /// Kind of the event.
    pub code: EventCode,
    /// Values of the fields, by name.
    pub fields: BTreeMap<String, String>,
}

impl LogEvent {
    /// Creates an event from its code and fields.
    ///
    /// ```
    /// use damaskstile_core::log::{EventCode, LogEvent};
    /// let event = LogEvent::new(EventCode::StopBegan, &[("open_requests", "3")]);
    /// assert_eq!(event.fields["open_requests"], "3");
    /// ```
    #[must_use]
    pub fn new(code: EventCode, fields: &[(&str, &str)]) -> Self {
        let fields = fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
        Self { code, fields }
    }
}
