//! Detection of crash-inducing content: checks, updates and log lines.

use damaskstile_core::prelude::*;
use damaskstile_requests::{Fingerprint, SuspectWord, Verdicts};

use crate::gateway::Gateway;
use crate::outbound_call::OutboundCall;
use crate::outgoing::Outgoing;
use crate::reply::Refusal;

/// Log value for a verdict reached by this instance rather than reported by a peer.
const SOURCE_OWN: &str = "own";

impl Gateway {
    /// Returns the refusal of a call whose content is quarantined; such a call was not executed.
    pub(crate) fn quarantine_refusal(
        &self,
        call: &OutboundCall,
        account: Option<&str>,
    ) -> Option<Refusal> {
        let now = self.now();
        let content = call.content(account);
        let left = self.state().suspects.barred_for(now, &content)?;
        Some(Refusal::not_run(RefusalCode::CrashesTargets, Some(left)))
    }

    /// Records that a target ended while it ran a call.
    pub(crate) fn note_end(&self, content: Fingerprint, account: &str, target: TargetIdentity) {
        let now = self.now();
        let verdicts = {
            let suspects = &mut self.state().suspects;
            suspects.note_end(now, content, account, target)
        };
        self.send_verdicts(&verdicts);
        self.log_verdicts(SOURCE_OWN, &verdicts);
    }

    /// Records that a target completed a call.
    pub(crate) fn note_success(&self, call: &OutboundCall, account: Option<&str>) {
        let now = self.now();
        let content = call.content(account);
        let verdicts = self.state().suspects.note_success(now, &content);
        self.send_verdicts(&verdicts);
        self.log_verdicts(SOURCE_OWN, &verdicts);
    }

    /// Sends the verdicts reached here to peers.
    fn send_verdicts(&self, verdicts: &Verdicts) {
        if let Some(content) = verdicts.news {
            // If the queue is full the report is dropped; the report of the next end under this
            // content includes this one.
            let _ = self.outbox.try_send(Outgoing::Suspect(content));
        }
        if !verdicts.barred.is_empty() {
            self.news.notify_one();
        }
    }

    /// Handles a peer's report. A quarantine is passed on at once: in a large fleet a digest
    /// reaches only a few peers, and the same content is likely to be sent to any instance next.
    pub(crate) fn hear_suspect(&self, from: &str, word: SuspectWord) {
        let now = self.now();
        let verdicts = self.state().suspects.hear(now, word);
        if !verdicts.barred.is_empty() {
            self.news.notify_one();
        }
        self.log_verdicts(from, &verdicts);
    }

    fn log_verdicts(&self, source: &str, verdicts: &Verdicts) {
        let barred = verdicts.barred.iter();
        let barred = barred.map(|content| (EventCode::ContentBarred, content));
        let released = verdicts.released.iter();
        let released = released.map(|content| (EventCode::ContentReleased, content));
        for (code, content) in barred.chain(released) {
            self.log_verdict(code, content, source);
        }
    }

    fn log_verdict(&self, code: EventCode, content: &Fingerprint, source: &str) {
        let known = {
            let suspects = &self.state().suspects;
            let known = suspects.ends_of(content);
            known.map(|(account, ends)| (account.clone(), ends.to_string()))
        };
        let (account, ends) = known.unwrap_or_default();
        let fields = [
            ("content", content.to_string()),
            ("account", account),
            ("ends", ends),
            ("source", source.to_owned()),
        ];
        let fields = fields
            .each_ref()
            .map(|(name, value)| (*name, value.as_str()));
        self.log(code, &fields);
    }
}
