//! Detection of crash-inducing content: checks, updates and log lines.

use damaskstile_core::prelude::*;
use damaskstile_requests::{Fingerprint, QuarantineChanges, SuspectReport};

use crate::gateway::Gateway;
use crate::outbound_call::OutboundCall;
use crate::outgoing::Outgoing;
use crate::reply::Refusal;

/// Log value for a verdict reached by this instance rather than reported by a peer.
const SOURCE_OWN: &str = "own";

impl Gateway {
    /// Returns the refusal of a call whose content, or a part of whose prompt, is quarantined, and
    /// which of them it is; such a call was not executed.
    pub(crate) fn quarantine_refusal(
        &self,
        call: &OutboundCall,
        account: Option<&str>,
    ) -> Option<(Refusal, Fingerprint)> {
        let now = self.now();
        let content = call.content(account);
        let quarantined = {
            let suspects = &self.state().suspects;
            let part = suspects.quarantined_part(now, call.work.names_but_last());
            part.or_else(|| {
                let left = suspects.quarantined_for(now, &content)?;
                Some((Fingerprint::of(&content), left))
            })
        };
        let (fingerprint, left) = quarantined?;
        let refusal = Refusal::not_run(RefusalCode::CrashesTargets, Some(left));
        Some((refusal, fingerprint))
    }

    /// Records that a target crashed before it had written anything on the prompt of a call.
    pub(crate) fn note_crash_under_prompt(
        &self,
        call: &OutboundCall,
        account: &str,
        target: &TargetIdentity,
    ) {
        let now = self.now();
        for (position, part) in (0..).zip(call.work.names_but_last()) {
            let changes = {
                let suspects = &mut self.state().suspects;
                suspects.note_part_crash(now, part, position, account, target.clone())
            };
            self.publish(&changes);
        }
    }

    /// Records that a target began to write its answer to a call.
    pub(crate) fn note_answer_begun(&self, call: &OutboundCall) {
        let now = self.now();
        for part in call.work.names_but_last() {
            let changes = self.state().suspects.note_sound_part(now, part);
            self.publish(&changes);
        }
    }

    /// Records that a target ended while it ran a call.
    pub(crate) fn note_crash(&self, content: Fingerprint, account: &str, target: TargetIdentity) {
        let now = self.now();
        let changes = {
            let suspects = &mut self.state().suspects;
            suspects.note_crash(now, content, account, target)
        };
        self.publish(&changes);
    }

    /// Records that a target completed a call.
    pub(crate) fn note_success(&self, call: &OutboundCall, account: Option<&str>) {
        let now = self.now();
        let content = call.content(account);
        let changes = self.state().suspects.note_success(now, &content);
        self.publish(&changes);
    }

    /// Sends the verdicts reached here to peers, and logs them.
    fn publish(&self, changes: &QuarantineChanges) {
        if let Some(content) = changes.changed {
            // If the queue is full the report is dropped; the report of the next end under this
            // content includes this one.
            let _ = self.outbox.try_send(Outgoing::Suspect(content));
        }
        if !changes.quarantined.is_empty() {
            self.gossip_wanted.notify_one();
        }
        self.log_changes(SOURCE_OWN, changes);
    }

    /// Handles a peer's report. A quarantine is passed on at once: in a large fleet a digest
    /// reaches only a few peers, and the same content is likely to be sent to any instance next.
    pub(crate) fn receive_suspect_report(&self, from: &str, report: SuspectReport) {
        let now = self.now();
        let changes = self.state().suspects.merge_report(now, report);
        if !changes.quarantined.is_empty() {
            self.gossip_wanted.notify_one();
        }
        self.log_changes(from, &changes);
    }

    fn log_changes(&self, source: &str, changes: &QuarantineChanges) {
        let quarantined = changes.quarantined.iter();
        let quarantined = quarantined.map(|content| (EventCode::ContentBarred, content));
        let released = changes.released.iter();
        let released = released.map(|content| (EventCode::ContentReleased, content));
        for (code, content) in quarantined.chain(released) {
            self.log_change(code, content, source);
        }
    }

    fn log_change(&self, code: EventCode, content: &Fingerprint, source: &str) {
        let known = {
            let suspects = &self.state().suspects;
            let known = suspects.crashes_of(content);
            known.map(|(account, crashes)| (account.clone(), crashes.to_string()))
        };
        let (account, crashes) = known.unwrap_or_default();
        let fields = [
            ("content", content.to_string()),
            (
                "kind",
                if content.is_part() { "part" } else { "content" }.to_owned(),
            ),
            ("account", account),
            ("ends", crashes),
            ("source", source.to_owned()),
        ];
        let fields = fields
            .each_ref()
            .map(|(name, value)| (*name, value.as_str()));
        self.log(code, &fields);
    }
}
