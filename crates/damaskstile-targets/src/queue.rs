//! Orders requests that wait for a target: by priority, then fairly between client accounts.

use damaskstile_core::prelude::*;

/// Run that waits for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// The run.
    pub run: RunId,
    /// Client account that pays.
    pub account: AccountId,
    /// Service that the run is for.
    pub service: ServiceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Time after which it is refused.
    pub until: Duration,
}

/// Runs that wait for targets, in one queue for each service.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<ServiceId, VecDeque<Queued>>,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a run.
    ///
    /// A client account never takes more than half of the places while others wait, so that a large
    /// one cannot starve a small one. A full queue gives its newest place of the lowest priority up
    /// for a higher one; the run that was displaced is returned.
    ///
    /// # Errors
    ///
    /// Returns the run if there is no place for it.
    pub fn push(&mut self, queued: Queued, places: usize) -> Result<Option<Queued>, Queued> {
        let waiting = self.waiting.entry(queued.service.clone()).or_default();
        let of_account = waiting
            .iter()
            .filter(|other| other.account == queued.account && other.priority <= queued.priority)
            .count();
        let has_others = waiting.iter().any(|other| other.account != queued.account);
        let is_greedy = has_others && of_account >= places.div_ceil(2);
        if is_greedy {
            return Err(queued);
        }
        if waiting.len() < places {
            waiting.push_back(queued);
            return Ok(None);
        }
        let lowest = waiting
            .iter()
            .enumerate()
            .max_by_key(|(index, other)| (other.priority, *index))
            .map(|(index, other)| (index, other.priority));
        match lowest {
            Some((index, priority)) if priority > queued.priority => {
                let displaced = waiting.remove(index);
                waiting.push_back(queued);
                Ok(displaced)
            }
            _ => Self::displace_greedy(waiting, queued, of_account),
        }
    }

    /// Displaces the newest run of the account that holds the most places, if it holds at least two
    /// more than the account of the new run.
    fn displace_greedy(
        waiting: &mut VecDeque<Queued>,
        queued: Queued,
        of_account: usize,
    ) -> Result<Option<Queued>, Queued> {
        let mut places: BTreeMap<&AccountId, (usize, usize)> = BTreeMap::new();
        for (index, other) in waiting.iter().enumerate() {
            let (count, newest) = places.entry(&other.account).or_default();
            *count += 1;
            *newest = index;
        }
        let greediest = places.values().max().copied();
        match greediest {
            Some((count, newest)) if count > of_account + 1 => {
                let displaced = waiting.remove(newest);
                waiting.push_back(queued);
                Ok(displaced)
            }
            _ => Err(queued),
        }
    }

    /// Removes and returns the next run of a service: the highest priority, then the account with
    /// the least in flight, then the oldest.
    pub fn next(&mut self, service: &str, in_flight: impl Fn(&AccountId) -> u64) -> Option<Queued> {
        let waiting = self.waiting.get_mut(service)?;
        let index = waiting
            .iter()
            .enumerate()
            .min_by_key(|(index, queued)| (queued.priority, in_flight(&queued.account), *index))
            .map(|(index, _)| index)?;
        waiting.remove(index)
    }

    /// Puts a run back at the front of its service's queue.
    pub fn put_back(&mut self, queued: Queued) {
        self.waiting
            .entry(queued.service.clone())
            .or_default()
            .push_front(queued);
    }

    /// Removes and returns the runs whose time has expired.
    pub fn next_expired(&mut self, now: Duration) -> Vec<Queued> {
        let mut expired = Vec::new();
        for waiting in self.waiting.values_mut() {
            let (gone, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(waiting)
                .into_iter()
                .partition(|queued| queued.until <= now);
            *waiting = kept;
            expired.extend(gone);
        }
        expired
    }

    /// Removes a run.
    pub fn remove(&mut self, run: &RunId) {
        for waiting in self.waiting.values_mut() {
            waiting.retain(|queued| &queued.run != run);
        }
    }

    /// Returns the services with waiting runs.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceId> {
        self.waiting
            .iter()
            .filter(|(_, waiting)| !waiting.is_empty())
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Returns the number of runs that wait for a service.
    #[must_use]
    pub fn len(&self, service: &str) -> usize {
        self.waiting.get(service).map_or(0, VecDeque::len)
    }

    /// Tells whether no run waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.values().all(VecDeque::is_empty)
    }

    /// Returns the earliest time at which a wait ends.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.waiting
            .values()
            .flatten()
            .map(|queued| queued.until)
            .min()
    }
}
