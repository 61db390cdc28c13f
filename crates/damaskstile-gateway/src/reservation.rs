//! Reservations: hold the tokens of one call and settle what it used.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{Rank, Shortage};
use damaskstile_targets::Work;

use crate::charge::Charge;
use crate::gateway::Gateway;
use crate::loan::Loan;

/// `Reservation` holds the most tokens that one call may use. When dropped, it settles what the
/// call has used.
///
/// An account pays for the prompt once per call, and for the output that the caller received. A
/// call that resumes at another target after a broken run therefore needs no further tokens, and
/// output that was generated but not delivered is not charged. A call that failed before anything
/// was delivered costs nothing; one whose caller left costs its prompt, which was read for it.
#[derive(Debug)]
pub struct Reservation {
    gateway: Arc<Gateway>,
    /// Set if tokens of this instance are reserved.
    account: Option<AccountId>,
    /// Set if the tokens are lent by a peer.
    loan: Option<Loan>,
    prompt_tokens: u64,
    output_tokens_max: u64,
    tokens_per_event: u64,
    reserved_tokens: u64,
    /// Whether a target may have run the call or may still be running it.
    may_have_run: bool,
    /// Value of `may_have_run` before the latest send.
    had_run: bool,
    /// Number of events delivered to the caller.
    delivered_events: u64,
    ending: Ending,
    charge: Arc<Charge>,
}

/// `Ending` is the way a call ended, as far as its charge depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The call is in progress, or its caller has left.
    Open,
    /// A complete answer was delivered whose tokens were not counted.
    Complete,
    /// The call failed for a reason other than its caller.
    Failed,
}

impl Reservation {
    /// Reserves the most tokens that a call may use.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`], which tells where the missing tokens are, if too few are free.
    pub fn try_new(
        gateway: &Arc<Gateway>,
        account: Option<&str>,
        work: Option<&Work>,
        tokens_per_event: u64,
        rank: Rank,
    ) -> Result<Self, Shortage> {
        let work = work.cloned().unwrap_or_default();
        let tokens = work.prompt_tokens + work.output_tokens;
        let mut state = gateway.state();
        let account = account.filter(|account| tokens > 0 && state.is_bounded(account));
        if let Some(account) = account {
            let now = gateway.now();
            state.holder.try_reserve(now, account, tokens, rank)?;
        }
        drop(state);
        Ok(Self::new(gateway, account, &work, tokens_per_event))
    }

    /// Makes a reservation of tokens that a peer lent.
    #[must_use]
    pub fn of_loan(loan: Loan, gateway: &Arc<Gateway>, work: &Work, tokens_per_event: u64) -> Self {
        let mut reservation = Self::new(gateway, None, work, tokens_per_event);
        reservation.loan = Some(loan);
        reservation
    }

    fn new(
        gateway: &Arc<Gateway>,
        account: Option<&str>,
        work: &Work,
        tokens_per_event: u64,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            account: account.map(str::to_owned),
            loan: None,
            prompt_tokens: work.prompt_tokens,
            output_tokens_max: work.output_tokens,
            tokens_per_event,
            reserved_tokens: work.prompt_tokens + work.output_tokens,
            may_have_run: false,
            had_run: false,
            delivered_events: 0,
            ending: Ending::Open,
            charge: Arc::default(),
        }
    }

    /// Returns the number of reserved tokens.
    #[must_use]
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Returns the shared charge of the call, which is kept up to date.
    #[must_use]
    pub fn charge(&self) -> Arc<Charge> {
        Arc::clone(&self.charge)
    }

    fn update_charge(&self) {
        self.charge.set(self.used_tokens(), self.delivered_events);
    }

    /// Records that the call is being sent: from here on it may run.
    pub fn sending(&mut self) {
        self.had_run = self.may_have_run;
        self.may_have_run = true;
        self.update_charge();
    }

    /// Records that the target of the latest send proved that it has not run the call.
    pub fn not_run(&mut self) {
        self.may_have_run = self.had_run;
        self.update_charge();
    }

    /// Records that another event is delivered to the caller.
    pub fn delivering(&mut self) {
        self.delivered_events += 1;
        self.update_charge();
    }

    /// Records that a complete answer is delivered, whose tokens are not counted on the way.
    pub fn delivering_complete(&mut self) {
        self.ending = Ending::Complete;
        self.update_charge();
    }

    /// Records that the call failed for a reason other than its caller.
    pub fn failed(&mut self) {
        self.ending = Ending::Failed;
        self.update_charge();
    }

    /// Returns the number of tokens to charge for the call so far.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        let is_undelivered_failure = self.ending == Ending::Failed && self.delivered_events == 0;
        if !self.may_have_run || is_undelivered_failure {
            return 0;
        }
        let delivered = self.delivered_events.saturating_mul(self.tokens_per_event);
        let output_tokens = if self.ending == Ending::Complete {
            self.output_tokens_max
        } else {
            delivered.min(self.output_tokens_max)
        };
        self.prompt_tokens + output_tokens
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used_tokens = self.used_tokens();
        if let Some(loan) = &mut self.loan {
            loan.set_used(used_tokens);
        }
        if let Some(account) = &self.account {
            let mut state = self.gateway.state();
            state
                .holder
                .release(account, self.reserved_tokens, used_tokens);
        }
    }
}
