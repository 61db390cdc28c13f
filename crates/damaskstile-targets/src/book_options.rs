//! `book_options` sets what the choice of a listed target goes by.

use damaskstile_core::prelude::*;

/// `BookOptions` sets what the choice of a listed target goes by. Costs are in milliseconds that
/// a call is likely to wait for its first token.
#[derive(Debug, Clone, PartialEq)]
pub struct BookOptions {
    /// Prompt tokens that a target is taken to read in a millisecond before any was seen to.
    pub prefill_tokens_per_ms: f64,
    /// Whether the speed is learned from the first tokens that come.
    pub is_learning: bool,
    /// Cost of one call that runs there already.
    pub running_ms: f64,
    /// Cost of a target at which every call failed lately.
    pub failure_ms: f64,
    /// Cost of a plain service's target in another data centre: a tie-break, because its answers
    /// cross a link that is paid by the byte.
    pub distance_ms: f64,
    /// Part of a prompt taken to be cached at the target that its session hashes to.
    pub home_share: f64,
    /// Cost of a token that one target fetches from another, as a part of reading it; 1 for never.
    ///
    /// Days with faults, twelve targets: reading shared parts again costs 21 in 1,000 of what answers
    /// are worth in place of 29. Moving memory takes a twentieth of the time of reading on fast
    /// links, but at that cost calls leave their homes for little and all targets read the parts
    /// (28 in 1,000); at 0.3 calls wait at their homes.
    pub fetch_share: f64,
    /// Time to read a prompt from which on it counts as long; 0 for none. All that runs at its
    /// target pauses between the chunks that are read, and beyond 300 ms of reading the pauses are
    /// longer than streams are promised.
    ///
    /// Few targets kept for long prompts bring answers that come late from 57 to 30 in 1,000 on calm
    /// days. From 250 ms on the long ones hold up each other more than they spare others.
    pub long_ms: f64,
    /// Time to read a prompt from which on peers are told of it. A datagram arrives within
    /// milliseconds. Late answers on days with faults: 65 in 1,000 without, 59 with; from 40 ms on
    /// no fewer.
    pub tell_ms: f64,
    /// Cost of a target kept for long prompts, for others, and the other way round: a busy minute's
    /// wait, so that none is left idle while the rest have thirty calls more each.
    pub apart_ms: f64,
    /// Part of its time that a target kept for long prompts reads them; by it and by the load seen
    /// follows how many are kept.
    pub long_busy: f64,
    /// Time for which a target stays in use after the list lost it around an outage of the list.
    pub lapse_grace: Duration,
    /// Whether operators may empty data centres. Nothing is sent then before it is known which are.
    pub empties_data_centres: bool,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentreId, RegionId>,
}

impl Default for BookOptions {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 50.0,
            is_learning: true,
            running_ms: 3.0,
            failure_ms: 2_000.0,
            distance_ms: 1.0,
            home_share: 0.95,
            fetch_share: 0.2,
            long_ms: 350.0,
            tell_ms: 100.0,
            apart_ms: 100.0,
            long_busy: 0.15,
            lapse_grace: Duration::from_millis(1_500),
            empties_data_centres: false,
            regions: BTreeMap::new(),
        }
    }
}
