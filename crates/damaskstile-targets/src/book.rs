//! `book` knows the listed targets and chooses one for a call.

mod list;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use crate::book_options::BookOptions;
use crate::choice::Choice;
use crate::departures::Departures;
use crate::known::Known;
use crate::work::Work;

/// `Book` knows the listed targets and chooses one for a call.
///
/// The choice weighs three things in one unit, the time to the first token: prompt tokens that
/// wait there or would have to be read anew, calls that run there, and failures seen lately.
/// Evenness alone reads shared parts of prompts anew at every target; affinity alone queues the
/// calls of a busy session at one.
#[derive(Debug)]
pub struct Book {
    options: BookOptions,
    data_centre: String,
    targets: BTreeMap<TargetId, Known>,
    departures: Departures,
    /// Entries that name no target to use, with what is wrong with them.
    refused: BTreeMap<TargetId, String>,
    /// Whether targets state their starts. An entry that does not is another writer's then.
    is_start_stated: bool,
}

impl Book {
    /// Makes a book without targets.
    #[must_use]
    pub fn new(data_centre: &str, options: BookOptions) -> Self {
        Self {
            options,
            data_centre: data_centre.to_owned(),
            targets: BTreeMap::new(),
            departures: Departures::default(),
            refused: BTreeMap::new(),
            is_start_stated: false,
        }
    }

    /// Returns the number of targets of a service that may get work.
    #[must_use]
    pub fn usable_targets(&self, now: Duration, service: &str) -> usize {
        self.usable(now, service).count()
    }

    /// Chooses a target of a service, other than those already tried.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{Book, BookOptions, Work};
    /// let book = Book::new("north", BookOptions::default());
    /// assert_eq!(book.choose(Duration::ZERO, "s", &Work::default(), &[]), None);
    /// ```
    #[must_use]
    pub fn choose(
        &self,
        now: Duration,
        service: &str,
        work: &Work,
        tried: &[TargetId],
    ) -> Option<Choice> {
        let home = self.home(now, service, work);
        self.usable(now, service)
            .filter(|known| !tried.contains(&known.listed.target))
            .map(|known| self.weigh(now, known, work, home.as_deref()))
            .min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))
    }

    /// Tells whether an incarnation may still get the call that was chosen for it: nothing that came
    /// since shows that it leaves, is gone or has been followed by another.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_targets::{Book, BookOptions};
    /// let book = Book::new("north", BookOptions::default());
    /// assert!(!book.may_send(Duration::ZERO, &TargetIdentity::new("unknown", None)));
    /// ```
    #[must_use]
    pub fn may_send(&self, now: Duration, identity: &TargetIdentity) -> bool {
        self.targets.get(&identity.target).is_some_and(|known| {
            known.listed.incarnation == identity.incarnation && self.is_usable(now, known)
        })
    }

    /// Returns what is known of the incarnation that a call was sent to; `None` where another has
    /// taken its place, of which the call says nothing.
    fn chosen(&mut self, choice: &Choice) -> Option<&mut Known> {
        self.targets
            .get_mut(&choice.target)
            .filter(|known| known.listed.incarnation == choice.incarnation)
    }

    /// Notes that a call was sent to its choice.
    pub fn sent(&mut self, now: Duration, choice: &Choice, work: &Work) {
        if let Some(known) = self.chosen(choice) {
            known.sent(now, work, choice.uncached_tokens);
        }
    }

    /// Notes that the first token came, or that the call ended before it.
    pub fn prefilled(&mut self, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.prefilled(choice.uncached_tokens);
        }
    }

    /// Notes that a call ended, in whatever way.
    pub fn ended(&mut self, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.ended();
        }
    }

    /// Takes in a target's report of its load, which came with the answer to a call.
    pub fn report(&mut self, now: Duration, choice: &Choice, running: u64, waiting: u64) {
        if let Some(known) = self.chosen(choice) {
            known.report(now, running, waiting);
        }
    }

    /// Notes that a call succeeded at its target.
    pub fn succeeded(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.succeeded(now);
        }
    }

    /// Notes that a target failed a call.
    pub fn failed(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.failed(now);
        }
    }

    /// Notes that a target did not answer at all.
    pub fn silent(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.silent(now);
        }
    }

    fn usable<'a>(&'a self, now: Duration, service: &'a str) -> impl Iterator<Item = &'a Known> {
        self.targets
            .values()
            .filter(move |known| known.listed.service == service && self.is_usable(now, known))
    }

    fn is_usable(&self, now: Duration, known: &Known) -> bool {
        let is_listed = known
            .missing_since
            .is_none_or(|since| now.saturating_sub(since) < self.options.lapse_grace);
        known.listed.is_ready
            && is_listed
            && self.is_sound(known)
            && !self.departures.covers(&known.listed.target)
    }

    fn is_sound(&self, known: &Known) -> bool {
        !self.refused.contains_key(&known.listed.target) && !self.is_start_missing(known)
    }

    /// Returns the target that a prompt's subject hashes to, the same on every instance, so that
    /// all send the subject where its parts are cached.
    fn home(&self, now: Duration, service: &str, work: &Work) -> Option<TargetId> {
        let subject = work.shared_parts().last()?.name.to_string();
        self.usable(now, service)
            .max_by_key(|known| stable_hash(&[&subject, &known.listed.target]))
            .map(|known| known.listed.target.clone())
    }

    #[allow(clippy::cast_precision_loss)] // token counts far below 2^52
    fn weigh(&self, now: Duration, known: &Known, work: &Work, home: Option<&str>) -> Choice {
        let mut cached = known.cached_tokens(now, work) as f64;
        if home == Some(known.listed.target.as_str()) {
            let shared: u64 = work.shared_parts().iter().map(|part| part.tokens).sum();
            cached = cached.max(shared as f64 * self.options.home_share);
        }
        let uncached = (work.prompt_tokens as f64 - cached).max(0.0);
        let waiting = known.own_prefill_tokens() as f64;
        let running = known.own_running() as f64 + known.others(now);
        let failures = known.failure_share(now);
        let is_far = work.prompt_tokens == 0 && known.listed.data_centre != self.data_centre;
        let cost_ms = (uncached + waiting) / self.options.prefill_tokens_per_ms
            + running * self.options.running_ms
            + failures * failures * self.options.failure_ms
            + f64::from(u8::from(is_far)) * self.options.distance_ms;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative
        let (uncached_tokens, ahead_tokens) = (uncached as u64, waiting as u64);
        Choice {
            target: known.listed.target.clone(),
            incarnation: known.listed.incarnation,
            address: known.listed.address,
            cost_ms,
            uncached_tokens,
            ahead_tokens,
            running,
        }
    }
}
