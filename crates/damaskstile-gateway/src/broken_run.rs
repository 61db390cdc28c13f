//! Follow-up of runs whose connection broke.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_requests::Fingerprint;
use damaskstile_targets::Choice;

use crate::gateway::Gateway;
use crate::outbound_call::OutboundCall;
use crate::paths;
use crate::record::logged_id;
use crate::running::Running;
use crate::state::Terms;
use crate::target_ends::{EndCheck, TargetLiveness};

/// Parts of a prompt that are logged.
const LOGGED_PARTS_MAX: usize = 8;

/// Returns the parts of a call's prompt that other calls may share, as logs name them.
fn part_names(call: &OutboundCall) -> String {
    let names = call.work.names_but_last().take(LOGGED_PARTS_MAX);
    let names: Vec<String> = names
        .map(|part| Fingerprint::of_part(part).to_string())
        .collect();
    names.join(",")
}

/// A run, with what is needed to follow it up if its connection breaks before the answer is
/// complete.
#[derive(Debug)]
pub(crate) struct BrokenRun {
    /// The incarnation that it was sent to.
    target: TargetIdentity,
    /// The target's address.
    address: SocketAddr,
    /// When it was sent.
    sent_at: Duration,
    /// Whether the target had begun to write its answer.
    had_event: bool,
}

impl BrokenRun {
    /// Describes the run of a call that is sent to `choice` now.
    pub(crate) fn of(choice: &Choice, sent_at: Duration) -> Self {
        Self {
            target: choice.identity(),
            address: choice.address,
            sent_at,
            had_event: false,
        }
    }

    /// Describes a run of which an event may have arrived.
    pub(crate) fn of_running(running: &Running) -> Self {
        Self {
            had_event: running.is_answered(),
            ..Self::of(&running.choice, running.sent_at())
        }
    }

    /// Checks whether the target has ended, and records the call's content if so. A retry of the
    /// call waits for this; otherwise content that crashes targets would be sent once more before
    /// it is quarantined.
    pub(crate) async fn follow_up(
        &self,
        gateway: &Gateway,
        call: &OutboundCall,
        terms: &Terms,
    ) -> EndCheck {
        let now = gateway.now();
        let probe = paths::liveness(gateway, &terms.service, &self.target, self.address);
        let check = gateway.end_checks.check_by(now, &self.target, probe).await;
        let state = check.state;
        let content = Fingerprint::of(&call.content(terms.account.as_deref()));
        let ran_ms = now.saturating_sub(self.sent_at).as_millis().to_string();
        let fields = [
            ("target", self.target.target.as_str()),
            ("state", state.as_str()),
            ("id", logged_id(call.id.as_deref())),
            ("content", &content.to_string()),
            ("account", terms.account.as_deref().unwrap_or("-")),
            ("ran_ms", &ran_ms),
            ("had_event", if self.had_event { "true" } else { "false" }),
            ("parts", &part_names(call)),
        ];
        gateway.log(EventCode::RunBroken, &fields);
        // Connections break for many reasons. If every break counted without this check, a few
        // reset links would make harmless calls suspect.
        if state == TargetLiveness::Ended {
            let account = terms.account.as_deref().unwrap_or_default();
            gateway.note_crash(content, account, self.target.clone());
            if !self.had_event {
                gateway.note_crash_under_prompt(call, account, &self.target);
            }
            let now = gateway.now();
            gateway.state().target_table.note_ended(now, &self.target);
            gateway.note_run_lost(terms);
        }
        check
    }

    /// Returns whether the run cannot be going on at its target, given the result of
    /// [`Self::follow_up`]. A reused result may stem from a check before the run was sent, to a new
    /// process at the same address, so that check is repeated. The age of the run does not rule
    /// this out, since it includes the time to connect. A draining target may refuse connections
    /// while it still completes its runs.
    pub(crate) async fn is_surely_over(
        &self,
        gateway: &Gateway,
        terms: &Terms,
        check: EndCheck,
    ) -> bool {
        if check.state != TargetLiveness::Ended
            || gateway.state().target_table.may_drain(&self.target)
        {
            return false;
        }
        if !check.is_reused {
            return true;
        }
        let probe = paths::liveness(gateway, &terms.service, &self.target, self.address);
        probe.await == TargetLiveness::Ended
    }
}
