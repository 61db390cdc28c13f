//! Options for dividing the tokens of a budget among instances and the store.

use damaskstile_core::prelude::*;

/// Options for dividing the tokens of a budget among instances and the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EscrowOptions {
    /// Minimum time between two rounds of an instance that has something to write.
    pub round_interval: Duration,
    /// Largest number of instances at which each instance writes to the ledger itself. A write
    /// takes about 8 ms; with this many writes a second, about one in ten conflicts with a write of
    /// another instance.
    pub small_fleet: u32,
    /// Factor by which the intervals between rounds are longer in a large fleet, in which one
    /// instance writes for all. It also scales [`ceiling`](Self::ceiling) and
    /// [`unlock_after`](Self::unlock_after).
    pub large_interval_scale: u32,
    /// Time between two rounds while tokens are short in a large fleet. The ledger of 80 instances
    /// is about 50 KB, so ten writes a second take 4 Mbit/s.
    pub large_urgent_interval: Duration,
    /// Time between two rounds while tokens are short in a small fleet. Longer than a call to the
    /// store takes, so that a burst of refused reservations does not become a burst of store calls.
    pub urgent_interval: Duration,
    /// Longest span of its demand that an instance holds tokens for: the longest isolation to
    /// survive, about 9 s, plus the time until the demand is measured.
    pub horizon: Duration,
    /// Percentage of the remaining tokens that stays in the store while an account has plenty.
    pub reserve_percent: u64,
    /// Percentage of the remaining tokens that stays in the store when few are left.
    pub scarce_reserve_percent: u64,
    /// An account has plenty when its remaining tokens last at least this long at the current
    /// demand: longer than an isolation.
    pub plenty_from: Duration,
    /// Few tokens are left when they last no longer than this at the current demand.
    pub scarce_from: Duration,
    /// Smallest number of average calls that an instance holds tokens for. If its share would pay
    /// for fewer, it holds none.
    pub floor_calls: u64,
    /// Number of average calls within the horizon from which an instance of a large fleet holds
    /// tokens of an account itself. With fewer calls, chance alone leaves it short or with tokens
    /// that no call asks for; it borrows them instead, which costs one round trip.
    pub held_calls: u64,
    /// Number of average calls that an instance holds tokens for if all instances can hold as many.
    pub plenty_calls: u64,
    /// Percentage of the spendable tokens that is divided evenly among the instances, for accounts
    /// whose calls move to other instances.
    pub even_percent: u64,
    /// Span of its demand that an instance with a working store connection may spend ahead of its
    /// last write: the time between two writes, and as much again for a burst.
    pub ceiling: Duration,
    /// What it may spend beyond that, in percent of an average call, so that a large call seldom
    /// needs a round of its own.
    pub ceiling_call_percent: u64,
    /// Percentage of the remaining tokens that may be lost if all instances end at once.
    pub ceiling_left_percent: u64,
    /// Percentage of the tokens that an instance should hold that lies below the ceiling even
    /// without demand, so that the first calls of an account need no round.
    pub ceiling_grant_percent: u64,
    /// Time since the last write that took effect after which an instance may spend beyond its
    /// ceiling. A little more than the time between two writes, so that nothing is unlocked while
    /// the store is reachable, and less than the time that the ceiling lasts.
    pub unlock_after: Duration,
    /// Time, counted from then, over which the whole grant of an isolated instance is unlocked.
    pub unlock_span: Duration,
    /// Span of the demand of an account's most urgent calls that is reserved for them and left
    /// untouched by its other calls.
    pub urgent_horizon: Duration,
    /// Allowed error of the fleet clock.
    pub clock_margin: Duration,
    /// Time for which a successor waits for the fleet clock before it writes its predecessor's
    /// grant off as spent.
    pub fleet_clock_wait_limit: Duration,
    /// Age beyond which the last seen ledger is no evidence of the tokens that other instances
    /// hold.
    pub evidence_age: Duration,
}

impl Default for EscrowOptions {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_secs(1),
            small_fleet: 16,
            large_interval_scale: 1,
            large_urgent_interval: Duration::from_millis(80),
            urgent_interval: Duration::from_millis(20),
            horizon: Duration::from_secs(12),
            reserve_percent: 15,
            scarce_reserve_percent: 75,
            plenty_from: Duration::from_secs(10),
            scarce_from: Duration::from_secs(3),
            floor_calls: 2,
            held_calls: 24,
            plenty_calls: 4,
            even_percent: 10,
            ceiling: Duration::from_millis(1_500),
            ceiling_call_percent: 100,
            ceiling_left_percent: 10,
            ceiling_grant_percent: 25,
            unlock_after: Duration::from_millis(1_200),
            unlock_span: Duration::from_millis(7_500),
            urgent_horizon: Duration::from_secs(8),
            clock_margin: Duration::from_millis(300),
            fleet_clock_wait_limit: Duration::from_secs(6),
            evidence_age: Duration::from_secs(3),
        }
    }
}
