//! Estimates what a call would cost at each target.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use super::TargetTable;
use super::bulk_targets::BulkRange;
use super::candidates::with_parts;
use super::cost_estimate::{CostEstimate, least_passing};
use super::index::ServiceIndex;
use super::reserved_targets::{LISTED_MAX, ReservedTargets};
use super::speed_effect::{FirstTokenParts, SpeedEffect};
use crate::prefill_speed::PrefillSpeed;
use crate::service_speed::ServiceSpeed;
use crate::target_state::TargetState;
use crate::target_table_options::TargetTableOptions;
use crate::work::Work;

/// Smallest number of tokens worth fetching from another target: a transfer takes a millisecond or
/// two to begin, in which about as many tokens are prefilled.
const FETCH_MIN_TOKENS: f64 = 64.0;
/// Failure share from which on nothing is fetched from a target.
const FETCH_FAILURES_MAX: f64 = 0.1;
/// At most one in this many targets is reserved for long prompts.
const RESERVED_DIVISOR: usize = 3;
/// Factor on the cost of a target that is not set apart, for bulk prompts. They go elsewhere only if
/// some four others wait at each target that is: so many stall streams for longer than routes allow.
const BULK_APART_FACTOR: f64 = 4.0;
/// Targets after the ring position of a shared prefix that are ranked as its affinity target. More
/// would spread prefixes no better than chance does, and each costs a hash for each call.
const AFFINITY_WINDOW: usize = 64;

/// Upper bound on the prefill time of one prompt, in seconds. Callers state the tokens of their
/// prompts, and a `Duration` cannot hold the time that the largest numbers would take.
const PREFILL_MAX_S: f64 = 600.0;

/// Context of one call: what all targets of its service have in common for an estimate of its cost.
#[derive(Debug)]
pub(super) struct CallContext<'a> {
    pub(super) work: &'a Work,
    /// Estimated prefill speed of the targets.
    speed: PrefillSpeed,
    is_long: bool,
    /// What all targets have in common, where their speeds are learned.
    service_speed: Option<&'a ServiceSpeed>,
    /// Targets reserved for long prompts.
    pub(super) reserved: ReservedTargets<'a>,
    /// Targets that take the service's bulk prompts; `None` if none is set apart.
    pub(super) bulk: Option<BulkRange<'a>>,
    /// Whether the call is a bulk prompt, and targets are set apart for it.
    is_bulk: bool,
    /// Affinity target: the one that the shared prefix of the prompt hashes to.
    pub(super) affinity_target: Option<&'a str>,
    /// Target that is likely to cache most of the prompt, with the number of cached tokens.
    source: Option<(&'a TargetState, f64)>,
}

impl TargetTable {
    pub(super) fn call_context<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        service: &str,
        work: &'a Work,
    ) -> CallContext<'a> {
        let speed = self.speed(service);
        let is_long = self.is_long(&speed, work);
        let reserved = self.reserved_for_long(now, index, service);
        let bulk = self.bulk_range(index, service);
        let is_bulk = bulk.is_some() && self.is_bulk(&speed, work);
        let mut context = CallContext {
            work,
            speed,
            is_long,
            service_speed: self.service_speed(now, service),
            reserved,
            bulk,
            is_bulk,
            affinity_target: None,
            source: None,
        };
        context.affinity_target = self.affinity_target(now, index, &context);
        context.source = self.source(now, index, &context);
        context
    }

    /// Tells whether the prefill of a prompt takes long enough to stall calls that run beside it.
    pub(super) fn is_long(&self, speed: &PrefillSpeed, work: &Work) -> bool {
        self.options.long_ms > 0.0 && own_part_prefill_ms(speed, work) >= self.options.long_ms
    }

    /// Returns the targets reserved for long prompts; the same on every instance that sees the same
    /// load. There are as many as spend a given share of their time on the prefill of long prompts,
    /// taken in hash order. If that is less than half a target, none is reserved: it would stand
    /// idle for an occasional prompt.
    fn reserved_for_long<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        service: &str,
    ) -> ReservedTargets<'a> {
        let Some(load) = self.long_loads.get(service) else {
            return ReservedTargets::none();
        };
        let instances = u32::try_from(self.instances.max(1)).unwrap_or(u32::MAX);
        let busy = load.busy_targets(now) * f64::from(instances);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a few targets
        let wanted = (busy / self.options.long_busy).round() as usize;
        let most = index.len() / RESERVED_DIVISOR;
        if wanted.min(most) > LISTED_MAX {
            return ReservedTargets::many(index, wanted.min(most));
        }
        let usable: Vec<&str> = self
            .states_of(index.in_reservation_order())
            .filter(|state| self.is_usable(now, state))
            .map(|state| state.listed.target.as_str())
            .take(wanted.saturating_mul(RESERVED_DIVISOR))
            .collect();
        let count = usable.len() / RESERVED_DIVISOR;
        ReservedTargets::Listed(usable.into_iter().take(count).collect())
    }

    /// Returns the affinity target of a prompt: the one that its shared prefix hashes to. It is the
    /// same on every instance, so that all send the prefix to where it is cached. Targets reserved
    /// for long prompts are never affinity targets; they fetch what they lack from there.
    fn affinity_target<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        context: &CallContext<'a>,
    ) -> Option<&'a str> {
        let shared_prefix = context.work.shared_parts().last()?.name.to_string();
        let may_be = |state: &TargetState| {
            self.is_usable(now, state)
                && self.is_in_home_region(state, context.work)
                && !self.is_call_limited(now, state)
                && context.may_be_affinity_target(state.listed.target.as_str())
        };
        let bulk = context.bulk.filter(|_| context.is_bulk);
        let onward: Box<dyn Iterator<Item = &TargetId>> = match bulk {
            Some(bulk) => Box::new(bulk.in_order_from(&shared_prefix)),
            None => Box::new(index.in_ring_order_from(&shared_prefix)),
        };
        let mut onward = self.states_of(onward);
        loop {
            let rank = |state: &&TargetState| stable_hash(&[&shared_prefix, &state.listed.target]);
            let window = onward.by_ref().take(AFFINITY_WINDOW);
            let window: Vec<(u64, &TargetState)> =
                window.map(|state| (rank(&state), state)).collect();
            if window.is_empty() {
                return None;
            }
            let is_better =
                |(one, _): &(u64, &TargetState), (other, _): &(u64, &TargetState)| one > other;
            let affinity_target = least_passing(window, is_better, |(_, state)| may_be(state));
            if let Some((_, state)) = affinity_target {
                return Some(state.listed.target.as_str());
            }
        }
    }

    /// Returns the target that is likely to cache most of a prompt: its affinity target, or one
    /// that this instance sent parts of it to.
    fn source<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        context: &CallContext<'a>,
    ) -> Option<(&'a TargetState, f64)> {
        let affinity_target = context.affinity_target.into_iter();
        let affinity_target = affinity_target.filter_map(|target| self.targets.get(target));
        if self.options.fetch_share >= 1.0 {
            return None;
        }
        let all = self
            .states_of(with_parts(index, context.work))
            .chain(affinity_target);
        let with_parts = all
            .map(|state| (state, self.cached(now, state, context)))
            .filter(|(_, cached)| *cached >= FETCH_MIN_TOKENS);
        least_passing(
            with_parts.collect(),
            |(_, one), (_, other)| one > other,
            |(state, _)| {
                self.is_usable(now, state)
                    && state.failure_share(now) < FETCH_FAILURES_MAX
                    && self.is_in_home_region(state, context.work)
            },
        )
    }

    /// Returns the number of tokens of a prompt that a target is likely to cache.
    fn cached(&self, now: Duration, state: &TargetState, context: &CallContext<'_>) -> f64 {
        let seen = tokens(state.cached_tokens(now, context.work));
        if context.affinity_target != Some(state.listed.target.as_str()) {
            return seen;
        }
        let shared = tokens(context.work.shared_tokens());
        seen.max(shared * self.options.home_share)
    }

    pub(super) fn estimate_cost<'a>(
        &self,
        now: Duration,
        state: &'a TargetState,
        context: &CallContext<'_>,
    ) -> CostEstimate<'a> {
        let options = &self.options;
        let work = context.work;
        let target = state.listed.target.as_str();
        let cached = self.cached(now, state, context);
        let fetched = context.source.and_then(|(source, there)| {
            let more = there - cached;
            let is_worth = source.listed.target != target && more >= FETCH_MIN_TOKENS;
            is_worth.then_some((source.listed.address, more))
        });
        let fetched_tokens = fetched.map_or(0.0, |(_, tokens)| tokens);
        let uncached = (tokens(work.prompt_tokens) - cached - fetched_tokens).max(0.0);
        let before = tokens(work.prompt_tokens) - uncached;
        let fetch_ms = context.speed.prefill_ms(fetched_tokens, cached) * options.fetch_share;
        let prefill_ms = context.speed.prefill_ms(uncached, before) + fetch_ms;
        let reported_prefill_ms = state.reported_prefill(now).as_secs_f64() * 1_000.0;
        let ahead_ms = state.own_prefill_ms() + reported_prefill_ms;
        let running = tokens(state.own_running()) + state.others(now);
        let failures = state.failure_share(now);
        let is_far = work.prompt_tokens == 0 && state.listed.data_centre != self.data_centre;
        let is_apart = !context.is_for(target);
        let cost_ms = prefill_ms
            + ahead_ms
            + running * options.running_ms
            + failures * failures * options.failure_ms
            + f64::from(u8::from(is_apart)) * context.apart_ms(options)
            + f64::from(u8::from(is_far)) * options.distance_ms;
        let own_ms = match context.service_speed {
            Some(service) if work.prompt_tokens == 0 => service.median_ms().unwrap_or_default(),
            _ => context.speed.first_token_ms(0.0, 0.0) + prefill_ms - fetch_ms,
        };
        let parts = FirstTokenParts {
            own_ms,
            others_ms: ahead_ms + fetch_ms,
            running,
        };
        let speed = context.service_speed.map_or_else(
            || SpeedEffect::none(cost_ms),
            |service| SpeedEffect::new(now, options, service, state, parts),
        );
        let cost_ms = cost_ms + speed.cost_ms;
        CostEstimate {
            state,
            cost_ms,
            uncached,
            fetch_from: fetched.map(|(address, _)| address),
            prefill_ms,
            ahead_ms,
            running,
            speed,
        }
    }
}

/// Returns the prefill time of the part of a prompt that no other call shares.
pub(super) fn own_part_prefill_ms(speed: &PrefillSpeed, work: &Work) -> f64 {
    let shared = work.shared_tokens();
    let own = work.prompt_tokens.saturating_sub(shared);
    speed.prefill_ms(tokens(own), tokens(shared))
}

/// Returns a prefill time in milliseconds as a `Duration`.
pub(super) fn prefill_time(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1_000.0).min(PREFILL_MAX_S))
}

#[allow(clippy::cast_precision_loss)] // counts far below 2^52
pub(super) fn tokens(count: u64) -> f64 {
    count as f64
}

impl CallContext<'_> {
    /// Tells whether a target is in the group meant for the call: bulk targets for bulk prompts,
    /// reserved targets for long ones, all others for short ones.
    fn is_for(&self, target: &str) -> bool {
        let is_bulk_target = self.bulk.is_some_and(|bulk| bulk.contains(target));
        if self.is_bulk || is_bulk_target {
            return self.is_bulk == is_bulk_target;
        }
        self.reserved.is_empty() || self.reserved.contains(target) == self.is_long
    }

    /// Returns the cost of a target that is not meant for the call.
    fn apart_ms(&self, options: &TargetTableOptions) -> f64 {
        let factor = if self.is_bulk { BULK_APART_FACTOR } else { 1.0 };
        options.apart_ms * factor
    }

    /// Tells whether a target may be the call's affinity target. Others fetch what they lack from
    /// there.
    fn may_be_affinity_target(&self, target: &str) -> bool {
        let is_bulk_target = self.bulk.is_some_and(|bulk| bulk.contains(target));
        self.is_bulk == is_bulk_target && !self.reserved.contains(target)
    }
}
