//! Call records: one log line per call with its outcome and the inputs of the decisions about it.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_targets::Choice;

use crate::charge::Charge;
use crate::gateway::Gateway;
use crate::phase::Phase;
use crate::running::Running;

/// `Record` collects the outcome of a call and the inputs of the decisions about it. When dropped,
/// it writes one log line.
#[derive(Debug)]
pub struct Record {
    gateway: Arc<Gateway>,
    began_at: Duration,
    code: EventCode,
    outcome: &'static str,
    account: AccountId,
    fields: Vec<(&'static str, String)>,
    first_byte: Option<Duration>,
    target: TargetId,
    /// Charge of the call, once tokens were reserved for it.
    charge: Option<Arc<Charge>>,
    /// Whether another record has taken over and writes the line.
    is_handed_over: bool,
}

/// Longest part of a caller's id that is logged, in bytes. The queue of log records is limited by
/// their number.
const ID_BYTES_MAX: usize = 128;

/// Returns the part of a caller's id that is logged.
#[must_use]
pub(crate) fn logged_id(id: Option<&str>) -> &str {
    let id = id.unwrap_or("-");
    &id[..id.floor_char_boundary(ID_BYTES_MAX)]
}

impl Record {
    /// Begins the record of a call. The outcome is that the caller left until another one is set.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, began_at: Duration, id: Option<&str>) -> Self {
        let mut record = Self {
            gateway: Arc::clone(gateway),
            began_at,
            code: EventCode::CallerLeft,
            outcome: "caller_left",
            account: String::new(),
            fields: Vec::with_capacity(12),
            first_byte: None,
            target: String::new(),
            charge: None,
            is_handed_over: false,
        };
        record.add("id", logged_id(id));
        record
    }

    /// Moves the collected data to a new record; this one writes no line.
    #[must_use]
    pub fn hand_over(&mut self) -> Self {
        self.is_handed_over = true;
        Self {
            gateway: Arc::clone(&self.gateway),
            began_at: self.began_at,
            code: self.code,
            outcome: self.outcome,
            account: self.account.clone(),
            fields: std::mem::take(&mut self.fields),
            first_byte: self.first_byte,
            target: self.target.clone(),
            charge: self.charge.take(),
            is_handed_over: false,
        }
    }

    /// Adds a field to the log line.
    #[allow(clippy::needless_pass_by_value)] // callers pass numbers and strings
    pub fn add(&mut self, name: &'static str, value: impl ToString) {
        self.fields.push((name, value.to_string()));
    }

    /// Records the target that the call is sent to and the inputs of that choice.
    pub fn note_choice(&mut self, choice: &Choice) {
        choice.target.clone_into(&mut self.target);
        let sent = self.gateway.now().saturating_sub(self.began_at);
        self.add("target", &choice.target);
        self.add("software", &choice.software_version);
        self.add("sent_ms", sent.as_millis());
        self.add("cost_ms", format!("{:.0}", choice.cost_ms));
        // Without a prediction by the target's speed the cost is the only one.
        if let Some(factor) = choice.speed_factor {
            self.add("expected_ms", format!("{:.0}", choice.expected_ms));
            self.add("speed", format!("{:.0}", factor * 100.0));
        }
        if choice.uncached_tokens > 0 {
            self.add("uncached", choice.uncached_tokens);
            self.add("ahead_ms", format!("{:.0}", choice.ahead_ms));
            self.add("running", format!("{:.0}", choice.running));
            self.add("fetch", u8::from(choice.fetch_from.is_some()));
        }
    }

    /// Records that the call stays at its target after another one was chosen.
    pub fn note_kept(&mut self, running: &Running) {
        let choice = &running.choice;
        choice.target.clone_into(&mut self.target);
        let sent = running.sent_at().saturating_sub(self.began_at);
        self.add("target", &choice.target);
        self.add("software", &choice.software_version);
        self.add("sent_ms", sent.as_millis());
    }

    /// Sets the client account.
    pub fn set_account(&mut self, account: &str) {
        account.clone_into(&mut self.account);
    }

    /// Sets the charge of the call, which is read when the call ends.
    pub fn set_charge(&mut self, charge: Arc<Charge>) {
        self.charge = Some(charge);
    }

    /// Returns when the call was received.
    #[must_use]
    pub fn began_at(&self) -> Duration {
        self.began_at
    }

    /// Records the arrival of the first byte of the answer.
    pub fn first_byte(&mut self) {
        if self.first_byte.is_none() {
            let took = self.gateway.now().saturating_sub(self.began_at);
            self.first_byte = Some(took);
            self.gateway
                .metrics
                .first_byte(&self.account, &self.target, took);
        }
    }

    /// Adds the time at which the call was received, relative to the start of the stop.
    ///
    /// A call without an outcome when open calls are cut off was ended by the stop. Without this
    /// the logs would blame its caller and hide the effect of the stop.
    fn note_stop(&mut self) {
        let Some(times) = self.gateway.stop_times.get() else {
            return;
        };
        let before = times.began_at.saturating_sub(self.began_at).as_millis();
        let after = self.began_at.saturating_sub(times.began_at).as_millis();
        let sign = if before > 0 { "-" } else { "" };
        self.add(
            "taken_after_stop_ms",
            format!("{sign}{}", before.max(after)),
        );
        let is_ending = *self.gateway.phase.borrow() == Phase::Ending;
        if is_ending && self.code == EventCode::CallerLeft {
            self.end(EventCode::CallCut, "cut_by_stop");
        }
    }

    /// Sets how the call ended.
    pub fn end(&mut self, code: EventCode, outcome: &'static str) {
        self.code = code;
        self.outcome = outcome;
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if self.is_handed_over {
            return;
        }
        let took = self.gateway.now().saturating_sub(self.began_at);
        self.note_stop();
        self.gateway.metrics.ended(&self.account, self.outcome);
        if let Some(first) = self.first_byte {
            self.add("first_byte_ms", first.as_millis());
        }
        if let Some(charge) = self.charge.take() {
            self.add("events", charge.events());
            self.add("used", charge.used_tokens());
        }
        self.add("took_ms", took.as_millis());
        self.add("outcome", self.outcome);
        let account = std::mem::take(&mut self.account);
        self.add("account", account);
        let fields: Vec<(&str, &str)> = self
            .fields
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        self.gateway.log(self.code, &fields);
    }
}
