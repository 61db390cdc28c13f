//! `selector` chooses a target among those that may get work.

use damaskstile_core::prelude::*;

/// `Candidate` is a target that may get work, with what the choice goes by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Requests likely to run or wait there.
    pub load_requests: u64,
    /// Requests that it runs at a time.
    pub slots_requests: u64,
    /// Average time of an answer; `None` before the first.
    pub answer_time: Option<Duration>,
}

impl Candidate {
    /// Returns the time that one more request is expected to take there.
    fn expected_time(&self, typical: Duration) -> Duration {
        let time = self.answer_time.unwrap_or(typical);
        let slots = u32::try_from(self.slots_requests.max(1)).unwrap_or(u32::MAX);
        let load = u32::try_from(self.load_requests + 1).unwrap_or(u32::MAX);
        time.saturating_mul(load.max(slots)) / slots
    }
}

/// `SelectorKind` names a selector in the settings and in measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SelectorKind {
    /// Any target.
    Random,
    /// One after the other.
    RoundRobin,
    /// The less loaded of two random ones.
    TwoChoices,
    /// The one of all with the shortest expected time, by load and by its past answers.
    #[default]
    ExpectedTime,
}

/// `Selector` chooses a target.
pub trait Selector: std::fmt::Debug + Send {
    /// Returns the position of the chosen candidate; `None` where there is none.
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
struct ExpectedTimeSelector;

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

impl Selector for ExpectedTimeSelector {
    fn choose(&mut self, candidates: &[Candidate], random: &mut Random) -> Option<usize> {
        let known: Vec<Duration> = candidates
            .iter()
            .filter_map(|one| one.answer_time)
            .collect();
        let typical = known
            .iter()
            .min()
            .copied()
            .unwrap_or(Duration::from_secs(1));
        // Ties go to a random one: instances that choose alike would all send to the same target.
        let start = random.index(candidates.len());
        (0..candidates.len())
            .map(|offset| (start + offset) % candidates.len())
            .min_by_key(|index| candidates[*index].expected_time(typical))
    }
}

impl SelectorKind {
    /// All selectors.
    pub const ALL: [Self; 4] = [
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
        Self::ExpectedTime,
    ];

    /// Returns the selector's name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::TwoChoices => "two_choices",
            Self::ExpectedTime => "expected_time",
        }
    }

    /// Makes the selector of that kind.
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
            Self::ExpectedTime => Box::new(ExpectedTimeSelector),
        }
    }
}
