//! Options of target selection.

use damaskstile_core::prelude::*;

/// Options of target selection. Costs are in milliseconds that a call is likely to wait for its
/// first token.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetTableOptions {
    /// Prefill speed, in prompt tokens per millisecond, assumed until one is learned.
    pub prefill_tokens_per_ms: f64,
    /// Whether the prefill speed is learned from the first tokens of calls.
    pub is_learning: bool,
    /// Cost of one call that already runs there.
    pub running_ms: f64,
    /// Cost of a target at which every recent call failed.
    pub failure_ms: f64,
    /// Cost of a plain service's target in another data centre: a tie-break, because its answers
    /// cross a link that is billed by the byte.
    pub distance_ms: f64,
    /// Share of a prompt's shared parts assumed to be cached at its affinity target.
    pub home_share: f64,
    /// Cost of a token that one target fetches from another, as a share of its prefill; 1 turns
    /// fetching off.
    ///
    /// On days with faults and with twelve targets, repeated prefill of shared parts costs 21 in
    /// 1,000 of the value of answers instead of 29. A transfer takes a twentieth of the prefill
    /// time on fast links, but at that cost calls leave their affinity targets for little and all
    /// targets prefill the shared parts (28 in 1,000); at 0.3 calls wait at their affinity targets.
    pub fetch_share: f64,
    /// Prefill time from which on a prompt counts as long; 0 if none does. All streams at its
    /// target pause between the chunks of its prefill, and beyond 300 ms of prefill the pauses are
    /// longer than streams are promised.
    ///
    /// A few targets reserved for long prompts reduce late answers from 57 to 30 in 1,000 on calm
    /// days. With 250 ms, long prompts delay each other more than they spare others.
    pub long_ms: f64,
    /// Prefill time from which on a prompt that yields to more urgent streams counts as bulk; 0 if
    /// none does. Four prompts of 90 ms that meet at a target stall its streams for longer than the
    /// 400 ms that routes allow, so the limit is far below `long_ms`.
    pub bulk_ms: f64,
    /// Prefill time from which on a prompt is reported to peers. A datagram arrives within
    /// milliseconds. On days with faults 65 answers in 1,000 are late without these reports and 59
    /// with them; with 40 ms there are no fewer.
    pub tell_ms: f64,
    /// Cost of a target reserved for long prompts, for other prompts, and of any other target for
    /// long ones. It is about the wait in a busy minute, so that no target is left idle while the
    /// others run thirty calls more each.
    pub apart_ms: f64,
    /// Share of its time that a reserved target spends on the prefill of long prompts. This and the
    /// observed load determine how many targets are reserved.
    pub long_busy: f64,
    /// Whether the speed of each target is learned where the targets of a service state how long
    /// work takes on their machines.
    pub learns_target_speeds: bool,
    /// Grace period in which a target stays in use after it was delisted around an outage of the
    /// list.
    pub lapse_grace: Duration,
    /// Time for which an entry with an earlier start than the newest known one must be the last of
    /// its target before it is used. Longer than three heartbeat intervals of the targets, after
    /// which the list drops an entry that nobody writes.
    pub standing_entry_wait: Duration,
    /// Whether operators may evacuate data centres. If so, nothing is sent before it is known which
    /// ones are evacuated.
    pub empties_data_centres: bool,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentreId, RegionId>,
}

impl Default for TargetTableOptions {
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
            bulk_ms: 40.0,
            tell_ms: 100.0,
            apart_ms: 100.0,
            long_busy: 0.15,
            learns_target_speeds: true,
            lapse_grace: Duration::from_millis(1_500),
            standing_entry_wait: Duration::from_secs(5),
            empties_data_centres: false,
            regions: BTreeMap::new(),
        }
    }
}
