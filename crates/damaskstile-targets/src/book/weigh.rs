//! Estimates what a call would cost at each target.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use super::Book;
use super::candidates::with_parts;
use super::index::ServiceIndex;
use super::kept::{FEW, Kept};
use super::weighed::{Weighed, first_passing};
use crate::known::Known;
use crate::reading_speed::ReadingSpeed;
use crate::work::Work;

/// Smallest number of tokens worth fetching from another target: a transfer takes a millisecond or
/// two to begin, in which about as many tokens are prefilled.
const FETCH_MIN_TOKENS: f64 = 64.0;
/// Failure share from which on nothing is fetched from a target.
const FETCH_FAILURES_MAX: f64 = 0.1;
/// At most one in this many targets is reserved for long prompts.
const LONG_PART_MAX: usize = 3;
/// Targets after the ring position of a shared prefix that are ranked as its affinity target. More
/// would spread prefixes no better than chance does, and each costs a hash for each call.
const HOME_WINDOW: usize = 64;

/// What the targets of a service have in common for one call.
#[derive(Debug)]
pub(super) struct Outlook<'a> {
    pub(super) work: &'a Work,
    /// Estimated prefill speed of the targets.
    speed: ReadingSpeed,
    is_long: bool,
    /// Targets reserved for long prompts.
    pub(super) kept: Kept<'a>,
    /// Affinity target: the one that the shared prefix of the prompt hashes to.
    pub(super) home: Option<&'a str>,
    /// Target that is likely to cache most of the prompt, with the number of cached tokens.
    source: Option<(&'a Known, f64)>,
}

impl Book {
    pub(super) fn outlook<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        service: &str,
        work: &'a Work,
    ) -> Outlook<'a> {
        let speed = self.speed(service);
        let is_long = self.is_long(&speed, work);
        let kept = self.kept_for_long(now, index, service);
        let mut outlook = Outlook {
            work,
            speed,
            is_long,
            kept,
            home: None,
            source: None,
        };
        outlook.home = self.home(now, index, &outlook);
        outlook.source = self.source(now, index, &outlook);
        outlook
    }

    /// Tells whether the prefill of a prompt takes long enough to stall calls that run beside it.
    pub(super) fn is_long(&self, speed: &ReadingSpeed, work: &Work) -> bool {
        self.options.long_ms > 0.0 && own_read_ms(speed, work) >= self.options.long_ms
    }

    /// Returns the targets reserved for long prompts; the same on every instance that sees the same
    /// load. There are as many as spend a given share of their time on the prefill of long prompts,
    /// taken in hash order. If that is less than half a target, none is reserved: it would stand
    /// idle for an occasional prompt.
    fn kept_for_long<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        service: &str,
    ) -> Kept<'a> {
        let Some(load) = self.long_loads.get(service) else {
            return Kept::none();
        };
        let instances = u32::try_from(self.instances.max(1)).unwrap_or(u32::MAX);
        let busy = load.busy_targets(now) * f64::from(instances);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a few targets
        let wanted = (busy / self.options.long_busy).round() as usize;
        let most = index.len() / LONG_PART_MAX;
        if wanted.min(most) > FEW {
            return Kept::many(index, wanted.min(most));
        }
        let usable: Vec<&str> = self
            .known_of(index.in_kept_order())
            .filter(|known| self.is_usable(now, known))
            .map(|known| known.listed.target.as_str())
            .take(wanted.saturating_mul(LONG_PART_MAX))
            .collect();
        let count = usable.len() / LONG_PART_MAX;
        Kept::Few(usable.into_iter().take(count).collect())
    }

    /// Returns the affinity target of a prompt: the one that its shared prefix hashes to. It is the
    /// same on every instance, so that all send the prefix to where it is cached. Targets reserved
    /// for long prompts are never affinity targets; they fetch what they lack from there.
    fn home<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        outlook: &Outlook<'a>,
    ) -> Option<&'a str> {
        let subject = outlook.work.shared_parts().last()?.name.to_string();
        let may_be = |known: &Known| {
            self.is_usable(now, known)
                && self.is_home(known, outlook.work)
                && !self.is_paced(now, known)
                && !outlook.kept.contains(known.listed.target.as_str())
        };
        let mut onward = self.known_of(index.after_place_of(&subject));
        loop {
            let rank = |known: &&Known| stable_hash(&[&subject, &known.listed.target]);
            let window = onward.by_ref().take(HOME_WINDOW);
            let window: Vec<(u64, &Known)> = window.map(|known| (rank(&known), known)).collect();
            if window.is_empty() {
                return None;
            }
            let is_better = |(one, _): &(u64, &Known), (other, _): &(u64, &Known)| one > other;
            let home = first_passing(window, is_better, |(_, known)| may_be(known));
            if let Some((_, known)) = home {
                return Some(known.listed.target.as_str());
            }
        }
    }

    /// Returns the target that is likely to cache most of a prompt: its affinity target, or one
    /// that this instance sent parts of it to.
    fn source<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        outlook: &Outlook<'a>,
    ) -> Option<(&'a Known, f64)> {
        let home = outlook.home.into_iter();
        let home = home.filter_map(|target| self.targets.get(target));
        if self.options.fetch_share >= 1.0 {
            return None;
        }
        let all = self.known_of(with_parts(index, outlook.work)).chain(home);
        let with_parts = all
            .map(|known| (known, self.cached(now, known, outlook)))
            .filter(|(_, cached)| *cached >= FETCH_MIN_TOKENS);
        first_passing(
            with_parts.collect(),
            |(_, one), (_, other)| one > other,
            |(known, _)| {
                self.is_usable(now, known)
                    && known.failure_share(now) < FETCH_FAILURES_MAX
                    && self.is_home(known, outlook.work)
            },
        )
    }

    /// Returns the number of tokens of a prompt that a target is likely to cache.
    fn cached(&self, now: Duration, known: &Known, outlook: &Outlook<'_>) -> f64 {
        let seen = tokens(known.cached_tokens(now, outlook.work));
        if outlook.home != Some(known.listed.target.as_str()) {
            return seen;
        }
        let shared = tokens(outlook.work.shared_tokens());
        seen.max(shared * self.options.home_share)
    }

    pub(super) fn weigh<'a>(
        &self,
        now: Duration,
        known: &'a Known,
        outlook: &Outlook<'_>,
    ) -> Weighed<'a> {
        let options = &self.options;
        let work = outlook.work;
        let target = known.listed.target.as_str();
        let cached = self.cached(now, known, outlook);
        let fetched = outlook.source.and_then(|(source, there)| {
            let more = there - cached;
            let is_worth = source.listed.target != target && more >= FETCH_MIN_TOKENS;
            is_worth.then_some((source.listed.address, more))
        });
        let fetched_tokens = fetched.map_or(0.0, |(_, tokens)| tokens);
        let uncached = (tokens(work.prompt_tokens) - cached - fetched_tokens).max(0.0);
        let before = tokens(work.prompt_tokens) - uncached;
        let fetch_ms = outlook.speed.read_ms(fetched_tokens, cached) * options.fetch_share;
        let read_ms = outlook.speed.read_ms(uncached, before) + fetch_ms;
        let others_reading_ms = known.others_reading(now).as_secs_f64() * 1_000.0;
        let ahead_ms = known.own_reading_ms() + others_reading_ms;
        let running = tokens(known.own_running()) + known.others(now);
        let failures = known.failure_share(now);
        let is_far = work.prompt_tokens == 0 && known.listed.data_centre != self.data_centre;
        let is_apart = !outlook.kept.is_empty() && !outlook.is_for(target);
        let cost_ms = read_ms
            + ahead_ms
            + running * options.running_ms
            + failures * failures * options.failure_ms
            + f64::from(u8::from(is_apart)) * options.apart_ms
            + f64::from(u8::from(is_far)) * options.distance_ms;
        Weighed {
            known,
            cost_ms,
            uncached,
            fetch_from: fetched.map(|(address, _)| address),
            read_ms,
            ahead_ms,
            running,
        }
    }
}

/// Returns the prefill time of the part of a prompt that no other call shares.
pub(super) fn own_read_ms(speed: &ReadingSpeed, work: &Work) -> f64 {
    let shared = work.shared_tokens();
    let own = work.prompt_tokens.saturating_sub(shared);
    speed.read_ms(tokens(own), tokens(shared))
}

#[allow(clippy::cast_precision_loss)] // counts far below 2^52
pub(super) fn tokens(count: u64) -> f64 {
    count as f64
}

impl Outlook<'_> {
    /// Tells whether a target is in the group meant for the call: reserved targets for long
    /// prompts, all others for short ones.
    fn is_for(&self, target: &str) -> bool {
        self.kept.contains(target) == self.is_long
    }
}
