//! `reservation` holds tokens for one call and settles what it used.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{Rank, Shortage};
use damaskstile_targets::Work;

use crate::charge::Charge;
use crate::gateway::Gateway;

/// Events that a target may make after its connection was closed and before it notices: a step
/// of a few milliseconds for each, over a link of a few milliseconds.
const EVENTS_AFTER_CLOSE: u64 = 4;

/// What is known of the tokens that a call used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Use {
    /// No target has run it.
    Nothing,
    /// It may have used all that is reserved.
    Unknown,
    /// So many output tokens were generated, on top of the prompt.
    Output(u64),
}

/// `Reservation` holds the worst case of one call. Dropped, it settles what the call used.
#[derive(Debug)]
pub struct Reservation {
    gateway: Arc<Gateway>,
    account: Option<AccountId>,
    prompt_tokens: u64,
    output_tokens_max: u64,
    tokens_per_event: u64,
    rank: Rank,
    reserved_tokens: u64,
    /// Output of earlier runs of the call.
    earlier_tokens: u64,
    /// Events of all runs.
    events: u64,
    used: Use,
    charge: Arc<Charge>,
}

impl Reservation {
    /// Reserves the worst case of a call.
    ///
    /// # Errors
    ///
    /// Returns where the missing tokens are.
    pub fn try_new(
        gateway: &Arc<Gateway>,
        account: Option<&str>,
        work: Option<&Work>,
        tokens_per_event: u64,
        rank: Rank,
    ) -> Result<Self, Shortage> {
        let work = work.cloned().unwrap_or_default();
        let account = account.filter(|_| work.prompt_tokens + work.output_tokens > 0);
        let tokens = work.prompt_tokens + work.output_tokens;
        if let Some(account) = account {
            let now = gateway.now();
            gateway
                .state()
                .holder
                .try_reserve(now, account, tokens, rank)?;
        }
        Ok(Self {
            gateway: Arc::clone(gateway),
            account: account.map(str::to_owned),
            prompt_tokens: work.prompt_tokens,
            output_tokens_max: work.output_tokens,
            tokens_per_event,
            rank,
            reserved_tokens: tokens,
            earlier_tokens: 0,
            events: 0,
            used: Use::Nothing,
            charge: Arc::default(),
        })
    }

    /// Returns the tokens that are held.
    #[must_use]
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Returns what the call counts for, kept up to date.
    #[must_use]
    pub fn charge(&self) -> Arc<Charge> {
        Arc::clone(&self.charge)
    }

    fn set_used(&mut self, used: Use) {
        self.used = used;
        self.charge.set(self.used_tokens(), self.events);
    }

    /// Notes that the call is being sent: from here on it may use all.
    pub fn sending(&mut self) {
        self.set_used(Use::Unknown);
    }

    /// Notes that the target proved that it has not run the call.
    pub fn not_run(&mut self) {
        self.set_used(Use::Nothing);
    }

    /// Notes the events received so far from a target that still runs the call.
    pub fn received(&mut self, events: u64) {
        self.events += 1;
        self.set_used(Use::Output(self.output_of(events + EVENTS_AFTER_CLOSE)));
    }

    /// Notes that the target ended the call after so many events.
    pub fn finished(&mut self, events: u64) {
        self.set_used(Use::Output(self.output_of(events)));
    }

    /// Notes that the connection broke, so nobody knows how far the target got.
    pub fn broken(&mut self) {
        self.set_used(Use::Unknown);
    }

    /// Holds another worst case of output for a further run, on top of what earlier ones used.
    /// Returns false where the tokens are not there.
    pub fn extend(&mut self) -> bool {
        let earlier_tokens = match self.used {
            Use::Nothing => return true,
            Use::Unknown => self.earlier_tokens + self.output_tokens_max,
            Use::Output(tokens) => self.earlier_tokens + tokens,
        };
        let Some(account) = &self.account else {
            return true;
        };
        let needed = self.prompt_tokens + earlier_tokens + self.output_tokens_max;
        let missing = needed.saturating_sub(self.reserved_tokens);
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        if state
            .holder
            .try_reserve(now, account, missing, self.rank)
            .is_err()
        {
            return false;
        }
        drop(state);
        self.reserved_tokens += missing;
        self.earlier_tokens = earlier_tokens;
        self.set_used(Use::Nothing);
        true
    }

    fn output_of(&self, events: u64) -> u64 {
        events
            .saturating_mul(self.tokens_per_event)
            .min(self.output_tokens_max)
    }

    /// Returns the tokens that the call counts for, as far as it went.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        let output_tokens = match self.used {
            Use::Nothing if self.earlier_tokens == 0 => return 0,
            Use::Nothing => 0,
            Use::Unknown => self.output_tokens_max,
            Use::Output(tokens) => tokens,
        };
        self.prompt_tokens + self.earlier_tokens + output_tokens
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(account) = &self.account {
            let used_tokens = self.used_tokens();
            let mut state = self.gateway.state();
            state
                .holder
                .release(account, self.reserved_tokens, used_tokens);
        }
    }
}
