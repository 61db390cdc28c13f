//! Remembers where streams began, for callers that take them up again.

use damaskstile_core::prelude::*;

use crate::stream_origin::{StreamKey, StreamOrigin};

/// Most streams that are remembered: a minute of a thousand streams a second. Those that expire
/// first are forgotten first.
const ORIGINS_MAX: usize = 65_536;

/// Streams by origin, with the longest remaining time for which one of them can be taken up.
pub type StreamsByOrigin = BTreeMap<StreamOrigin, (Duration, Vec<StreamKey>)>;

#[derive(Debug)]
struct KeptOrigin {
    origin: StreamOrigin,
    expires_at: Duration,
    /// Whether the stream began at this instance.
    is_own: bool,
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
        if let Some(kept) = self.origins.get_mut(&key) {
            kept.is_own = true;
            self.unreported.insert(key);
        }
    }

    /// Records a stream that a peer reported. The first record of a stream stays: a later one cannot
    /// change where it began. One that agrees with it extends its lifetime, since an attempt that
    /// took the stream up may be taken up in turn under the id of the first.
    pub fn note_reported(
        &mut self,
        now: Duration,
        key: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        self.expire(now);
        let expires_at = now + lifetime;
        if let Some(kept) = self.origins.get_mut(&key) {
            if kept.origin == origin && kept.expires_at < expires_at {
                self.expiries.remove(&(kept.expires_at, key));
                self.expiries.insert((expires_at, key));
                kept.expires_at = expires_at;
            }
            return;
        }
        self.expiries.insert((expires_at, key));
        let kept = KeptOrigin {
            origin,
            expires_at,
            is_own: false,
        };
        self.origins.insert(key, kept);
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

    /// Returns whether the predicate holds for the origin of an own stream that waits to be reported.
    pub fn any_unreported(&self, mut predicate: impl FnMut(&StreamOrigin) -> bool) -> bool {
        let kept = self.unreported.iter();
        let mut kept = kept.filter_map(|key| self.origins.get(key));
        kept.any(|kept| predicate(&kept.origin))
    }

    /// Returns up to `most` own streams that were not reported yet, by origin, with the remaining
    /// time for which they can be taken up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_requests::{StreamOrigin, StreamOrigins};
    /// let mut origins = StreamOrigins::default();
    /// let origin = StreamOrigin { service: "model".to_owned(), version: "v1".to_owned() };
    /// origins.note_begun(Duration::ZERO, 7, origin.clone(), Duration::from_secs(10));
    /// let taken = origins.take_unreported(Duration::from_secs(1), 100);
    /// assert_eq!(taken[&origin], (Duration::from_secs(9), vec![7]));
    /// assert!(origins.take_unreported(Duration::from_secs(1), 100).is_empty());
    /// ```
    pub fn take_unreported(&mut self, now: Duration, most: usize) -> StreamsByOrigin {
        self.expire(now);
        let keys: Vec<StreamKey> = self.unreported.iter().take(most).copied().collect();
        for key in &keys {
            self.unreported.remove(key);
        }
        self.by_origin(now, keys.into_iter())
    }

    /// Returns the streams to hand over to a peer that has just started: own ones, and of those that
    /// peers reported the ones that the predicate holds for.
    #[must_use]
    pub fn to_hand_over(
        &self,
        now: Duration,
        is_share: impl Fn(StreamKey) -> bool,
    ) -> StreamsByOrigin {
        let kept = self.origins.iter();
        let kept = kept.filter(|(key, kept)| kept.is_own || is_share(**key));
        self.by_origin(now, kept.map(|(key, _)| *key))
    }

    fn by_origin(&self, now: Duration, keys: impl Iterator<Item = StreamKey>) -> StreamsByOrigin {
        let mut streams = StreamsByOrigin::new();
        for key in keys {
            let Some(kept) = self.origins.get(&key).filter(|kept| now < kept.expires_at) else {
                continue;
            };
            let (lifetime, keys) = streams.entry(kept.origin.clone()).or_default();
            *lifetime = (*lifetime).max(kept.expires_at.saturating_sub(now));
            keys.push(key);
        }
        streams
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
