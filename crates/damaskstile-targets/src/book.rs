//! `book` knows the listed targets and chooses one for a call.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use crate::book_options::BookOptions;
use crate::known::Known;
use crate::listed::Listed;
use crate::work::Work;

/// Time for which peers are told that a target is leaving: longer than an isolation lasts.
const LEAVING_NEWS: Duration = Duration::from_secs(15);

/// `Choice` is the target chosen for a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected wait for the first token, by which it was chosen.
    pub cost_ms: f64,
    /// Tokens of the prompt that are not expected to be cached there.
    pub uncached_tokens: u64,
}

/// How it was learnt that a target is leaving.
#[derive(Debug, Clone, Copy)]
struct Left {
    at: Duration,
    /// Whether the target is known to drain. It never takes work again then; one that only
    /// vanished from the list may come back to it.
    is_final: bool,
}

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
    /// Targets that are leaving or gone, by any source, with when that was learnt.
    leaving: BTreeMap<TargetId, Left>,
}

impl Book {
    /// Makes a book without targets.
    #[must_use]
    pub fn new(data_centre: &str, options: BookOptions) -> Self {
        Self {
            options,
            data_centre: data_centre.to_owned(),
            targets: BTreeMap::new(),
            leaving: BTreeMap::new(),
        }
    }

    /// Takes in one entry of the list; returns whether its readiness changed.
    pub fn list(&mut self, now: Duration, listed: Listed) -> bool {
        if !listed.is_ready {
            self.leave(now, &listed.target);
        } else if self
            .leaving
            .get(&listed.target)
            .is_some_and(|left| !left.is_final)
        {
            self.leaving.remove(&listed.target);
        }
        if let Some(known) = self.targets.get_mut(&listed.target) {
            let was_ready = known.listed.is_ready && known.missing_since.is_none();
            let is_ready = listed.is_ready;
            known.missing_since = None;
            known.listed = listed;
            return was_ready != is_ready;
        }
        let target = listed.target.clone();
        self.targets.insert(target, Known::new(listed));
        true
    }

    /// Takes in that the list no longer holds a target.
    ///
    /// Around an outage of the list entries lapse although their targets live, and come back
    /// soon; such a target stays in use for a short grace. At other times it is leaving.
    pub fn unlist(&mut self, now: Duration, target: &str, is_around_outage: bool) {
        if !is_around_outage {
            self.targets.remove(target);
            self.vanish(now, target);
            return;
        }
        if let Some(known) = self.targets.get_mut(target) {
            known.missing_since.get_or_insert(now);
        }
    }

    /// Takes in the whole list: targets that it does not name are unlisted.
    pub fn list_all(&mut self, now: Duration, all: Vec<Listed>, is_around_outage: bool) {
        let named: BTreeSet<TargetId> = all.iter().map(|one| one.target.clone()).collect();
        let gone: Vec<TargetId> = self
            .targets
            .keys()
            .filter(|target| !named.contains(*target))
            .cloned()
            .collect();
        for target in gone {
            self.unlist(now, &target, is_around_outage);
        }
        for listed in all {
            self.list(now, listed);
        }
    }

    /// Takes in that a target drains or has ended; returns whether that is news.
    pub fn leave(&mut self, now: Duration, target: &str) -> bool {
        let left = Left {
            at: now,
            is_final: true,
        };
        let before = self.leaving.insert(target.to_owned(), left);
        if let Some(before) = before {
            // The news is as old as it was at first.
            let left = Left {
                at: before.at,
                is_final: true,
            };
            self.leaving.insert(target.to_owned(), left);
        }
        before.is_none()
    }

    /// Takes in that a target vanished from the list; returns whether that is news.
    pub fn vanish(&mut self, now: Duration, target: &str) -> bool {
        if self.leaving.contains_key(target) {
            return false;
        }
        let left = Left {
            at: now,
            is_final: false,
        };
        self.leaving.insert(target.to_owned(), left);
        true
    }

    /// Returns the targets that lately began to drain, to tell peers.
    #[must_use]
    pub fn draining(&self, now: Duration) -> Vec<TargetId> {
        self.left(now, true).cloned().collect()
    }

    /// Returns the targets that lately vanished from the list, to tell peers: those that lapsed
    /// around an outage too, once they are no longer waited for.
    #[must_use]
    pub fn vanished(&self, now: Duration) -> Vec<TargetId> {
        let lapsed = self.targets.iter().filter(|(_, known)| {
            known.missing_since.is_some_and(|since| {
                let age = now.saturating_sub(since);
                age >= self.options.lapse_grace && age < LEAVING_NEWS
            })
        });
        let lapsed = lapsed.map(|(target, _)| target);
        self.left(now, false).chain(lapsed).cloned().collect()
    }

    fn left(&self, now: Duration, is_final: bool) -> impl Iterator<Item = &TargetId> {
        self.leaving
            .iter()
            .filter(move |(_, left)| left.is_final == is_final)
            .filter(move |(_, left)| now.saturating_sub(left.at) < LEAVING_NEWS)
            .map(|(target, _)| target)
    }

    /// Returns what the list says of the targets that are there, to hand it on. One that the list
    /// does not show now is left out: whoever takes it over could not tell that it is waited for.
    pub fn present(&self) -> impl Iterator<Item = &Listed> {
        self.targets
            .values()
            .filter(|known| known.missing_since.is_none())
            .map(|known| &known.listed)
            .filter(|listed| !self.leaving.contains_key(&listed.target))
    }

    /// Returns the targets of the list with what it says of them.
    pub fn listed(&self) -> impl Iterator<Item = &Listed> {
        self.targets.values().map(|known| &known.listed)
    }

    /// Tells whether the list names a target now.
    ///
    /// ```
    /// use damaskstile_targets::{Book, BookOptions};
    /// assert!(!Book::new("north", BookOptions::default()).is_named("unknown"));
    /// ```
    #[must_use]
    pub fn is_named(&self, target: &str) -> bool {
        self.targets
            .get(target)
            .is_some_and(|known| known.missing_since.is_none())
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

    /// Tells whether a target may still get the call that was chosen for it: nothing that came since
    /// shows that it leaves or is gone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{Book, BookOptions};
    /// let book = Book::new("north", BookOptions::default());
    /// assert!(!book.may_send(Duration::ZERO, "unknown"));
    /// ```
    #[must_use]
    pub fn may_send(&self, now: Duration, target: &str) -> bool {
        self.targets
            .get(target)
            .is_some_and(|known| self.is_usable(now, known))
    }

    /// Notes that a call was sent to its choice.
    pub fn sent(&mut self, now: Duration, choice: &Choice, work: &Work) {
        if let Some(known) = self.targets.get_mut(&choice.target) {
            known.sent(now, work, choice.uncached_tokens);
        }
    }

    /// Notes that the first token came, or that the call ended before it.
    pub fn prefilled(&mut self, choice: &Choice) {
        if let Some(known) = self.targets.get_mut(&choice.target) {
            known.prefilled(choice.uncached_tokens);
        }
    }

    /// Notes that a call ended, in whatever way.
    pub fn ended(&mut self, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
            known.ended();
        }
    }

    /// Takes in a target's report of its load.
    pub fn report(&mut self, now: Duration, target: &str, running: u64, waiting: u64) {
        if let Some(known) = self.targets.get_mut(target) {
            known.report(now, running, waiting);
        }
    }

    /// Notes that a call succeeded at a target.
    pub fn succeeded(&mut self, now: Duration, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
            known.succeeded(now);
        }
    }

    /// Notes that a target failed a call.
    pub fn failed(&mut self, now: Duration, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
            known.failed(now);
        }
    }

    /// Notes that a target did not answer at all.
    pub fn silent(&mut self, now: Duration, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
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
        known.listed.is_ready && is_listed && !self.leaving.contains_key(&known.listed.target)
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
        let uncached_tokens = uncached as u64;
        Choice {
            target: known.listed.target.clone(),
            address: known.listed.address,
            cost_ms,
            uncached_tokens,
        }
    }
}
