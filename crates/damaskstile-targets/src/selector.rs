//! Strategies that select a target among candidates.

use damaskstile_core::prelude::*;

use crate::candidate::Candidate;

/// Strategy of selection, as named in the settings and in measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SelectorKind {
    /// A random target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The less loaded of two random targets.
    TwoChoices,
    /// The target with the least work of this instance for its speed; among equals, the one idle
    /// longest.
    ///
    /// It uses only what this instance has seen itself. Load reports are late and the same for all
    /// instances, so instances that follow them all send to the same target.
    #[default]
    OwnWork,
}

/// Selects a target.
pub trait Selector: std::fmt::Debug + Send {
    /// Returns the position of the selected candidate; `None` if there is none.
    fn choose(&mut self, candidates: &[Candidate], random: &mut Random) -> Option<usize>;
}

#[derive(Debug)]
struct RandomSelector;

#[derive(Debug)]
struct RoundRobinSelector {
    next: usize,
}

#[derive(Debug)]
struct TwoChoicesSelector;

#[derive(Debug)]
struct OwnWorkSelector;

impl Selector for RandomSelector {
    fn choose(&mut self, candidates: &[Candidate], random: &mut Random) -> Option<usize> {
        (!candidates.is_empty()).then(|| random.index(candidates.len()))
    }
}

impl Selector for RoundRobinSelector {
    fn choose(&mut self, candidates: &[Candidate], _random: &mut Random) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(self.next % candidates.len())
    }
}

impl Selector for TwoChoicesSelector {
    fn choose(&mut self, candidates: &[Candidate], random: &mut Random) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let one = random.index(candidates.len());
        let other = random.index(candidates.len());
        let load = |index: usize| {
            let candidate = &candidates[index];
            candidate.load_requests * 1000 / candidate.slots_requests.max(1)
        };
        Some(if load(other) < load(one) { other } else { one })
    }
}

impl Selector for OwnWorkSelector {
    fn choose(&mut self, candidates: &[Candidate], random: &mut Random) -> Option<usize> {
        let mut known: Vec<Duration> = candidates
            .iter()
            .filter_map(|one| one.answer_time)
            .collect();
        known.sort_unstable();
        let typical = known.get(known.len() / 2).copied();
        let typical = typical.unwrap_or(Duration::from_secs(1));
        let start = random.index(candidates.len());
        (0..candidates.len())
            .map(|offset| (start + offset) % candidates.len())
            .min_by_key(|index| {
                let candidate = &candidates[*index];
                let work = (candidate.own_requests + 1) * candidate.slowness(typical);
                (work, std::cmp::Reverse(candidate.idle_for))
            })
    }
}

impl SelectorKind {
    /// All strategies.
    pub const ALL: [Self; 4] = [
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
        Self::OwnWork,
    ];

    /// Returns the name of the strategy.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::TwoChoices => "two_choices",
            Self::OwnWork => "own_work",
        }
    }

    /// Creates a selector of this strategy.
    ///
    /// ```
    /// use damaskstile_core::random::Random;
    /// use damaskstile_targets::selector::SelectorKind;
    /// let mut selector = SelectorKind::TwoChoices.selector();
    /// assert_eq!(selector.choose(&[], &mut Random::new(1)), None);
    /// ```
    #[must_use]
    pub fn selector(self) -> Box<dyn Selector> {
        match self {
            Self::Random => Box::new(RandomSelector),
            Self::RoundRobin => Box::new(RoundRobinSelector { next: 0 }),
            Self::TwoChoices => Box::new(TwoChoicesSelector),
            Self::OwnWork => Box::new(OwnWorkSelector),
        }
    }
}
