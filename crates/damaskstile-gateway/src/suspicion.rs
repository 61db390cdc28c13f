//! `suspicion` keeps what a gateway knows of contents that end targets, and says so in the logs.

use damaskstile_core::prelude::*;
use damaskstile_requests::{Fingerprint, SuspectWord, Verdicts};

use crate::gateway::Gateway;
use crate::outgoing::Outgoing;
use crate::reply::Refusal;
use crate::sendable::Sendable;

/// Where an instance's own word is meant in place of a peer's.
const OWN: &str = "own";

impl Gateway {
    /// Returns the refusal of a call for what is known to end its targets, which has not run.
    pub(crate) fn barred(&self, call: &Sendable, account: Option<&str>) -> Option<Refusal> {
        let now = self.now();
        let content = call.content(account);
        let left = self.state().suspects.barred_for(now, &content)?;
        Some(Refusal::not_run(RefusalCode::CrashesTargets, Some(left)))
    }

    /// Notes that a target ended while it ran a call.
    pub(crate) fn note_end(&self, content: Fingerprint, account: &str, target: TargetIdentity) {
        let now = self.now();
        let verdicts = {
            let suspects = &mut self.state().suspects;
            suspects.note_end(now, content, account, target)
        };
        self.tell(&verdicts);
        self.log_verdicts(OWN, &verdicts);
    }

    /// Notes that a target ran a call to its end.
    pub(crate) fn note_success(&self, call: &Sendable, account: Option<&str>) {
        let now = self.now();
        let content = call.content(account);
        let verdicts = self.state().suspects.note_success(now, &content);
        self.tell(&verdicts);
        self.log_verdicts(OWN, &verdicts);
    }

    /// Tells peers what was found here.
    fn tell(&self, verdicts: &Verdicts) {
        if let Some(content) = verdicts.news {
            // Where the ring is full, the next end under the content tells this one too.
            let _ = self.outbox.try_send(Outgoing::Suspect(content));
        }
        if !verdicts.barred.is_empty() {
            self.news.notify_one();
        }
    }

    /// Takes in what a peer tells. That a content is refused is passed on at once: in a large fleet a
    /// digest goes to few, and the same is likely to be asked of any instance next.
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
