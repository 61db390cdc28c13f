//! Remembers where streams began, for callers that take them up again.

use damaskstile_core::prelude::*;

use crate::stream_origin::{StreamKey, StreamOrigin};

/// Most streams that are remembered: a minute of a thousand streams a second. Those that expire
/// first are forgotten first.
const ORIGINS_MAX: usize = 65_536;

#[derive(Debug)]
struct KeptOrigin {
    origin: StreamOrigin,
    expires_at: Duration,
}

/// Where streams began, by key: this instance's own streams, and those that peers reported.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: BTreeMap<StreamKey, KeptOrigin>,
    expiries: BTreeSet<(Duration, StreamKey)>,
    /// Own streams that were not reported to peers.
    unreported: BTreeSet<StreamKey>,
}

impl StreamOrigins {
    /// Records a stream that began at this instance and can be taken up for `lifetime`.
    pub fn note_begun(
        &mut self,
        now: Duration,
        key: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        self.note_reported(now, key, origin, lifetime);
        self.unreported.insert(key);
    }

    /// Records a stream that a peer reported. The first record of a stream stays: a later one cannot
    /// change where it began.
    pub fn note_reported(
        &mut self,
        now: Duration,
        key: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        self.expire(now);
        if self.origins.contains_key(&key) {
            return;
        }
        let expires_at = now + lifetime;
        self.expiries.insert((expires_at, key));
        self.origins.insert(key, KeptOrigin { origin, expires_at });
        if self.origins.len() > ORIGINS_MAX
            && let Some((_, first)) = self.expiries.pop_first()
        {
            self.forget(first);
        }
    }

    /// Returns where a stream began, if this instance knows it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_requests::{StreamOrigin, StreamOrigins};
    /// let mut origins = StreamOrigins::default();
    /// let origin = StreamOrigin { service: "model".to_owned(), version: "v1".to_owned() };
    /// origins.note_begun(Duration::ZERO, 7, origin.clone(), Duration::from_secs(10));
    /// assert_eq!(origins.origin(Duration::from_secs(9), 7), Some(&origin));
    /// assert_eq!(origins.origin(Duration::from_secs(10), 7), None);
    /// ```
    #[must_use]
    pub fn origin(&self, now: Duration, key: StreamKey) -> Option<&StreamOrigin> {
        let kept = self.origins.get(&key)?;
        (now < kept.expires_at).then_some(&kept.origin)
    }

    /// Tells whether own streams wait to be reported.
    #[must_use]
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns up to `most` own streams that were not reported yet and for whose origin the
    /// predicate holds, by origin, with the remaining time for which they can be taken up.
    pub fn take_unreported(
        &mut self,
        now: Duration,
        most: usize,
        mut is_wanted: impl FnMut(&StreamOrigin, Duration) -> bool,
    ) -> BTreeMap<StreamOrigin, (Duration, Vec<StreamKey>)> {
        self.expire(now);
        let mut taken: BTreeMap<StreamOrigin, (Duration, Vec<StreamKey>)> = BTreeMap::new();
        let mut count = 0;
        let origins = &self.origins;
        self.unreported.retain(|key| {
            let Some(kept) = origins.get(key) else {
                return false;
            };
            let left = kept.expires_at.saturating_sub(now);
            if count == most || !is_wanted(&kept.origin, left) {
                return true;
            }
            count += 1;
            let (lifetime, keys) = taken.entry(kept.origin.clone()).or_default();
            *lifetime = left.max(*lifetime);
            keys.push(*key);
            false
        });
        taken
    }

    fn expire(&mut self, now: Duration) {
        while let Some((expires_at, key)) = self.expiries.first().copied()
            && expires_at <= now
        {
            self.expiries.pop_first();
            self.forget(key);
        }
    }

    fn forget(&mut self, key: StreamKey) {
        self.origins.remove(&key);
        self.unreported.remove(&key);
    }
}
