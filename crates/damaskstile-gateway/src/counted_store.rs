//! Wrapper for the store's client that counts calls by purpose and outcome.
//!
//! Every call to the platform's store is paid for, including those that it refuses or that get
//! lost, and the cost of a background task shows in no answer. All calls of an instance therefore
//! pass through this wrapper.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use damaskstile_core::ids::{History, Version};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::objects::{Change, Listing, ObjectStore, StoreError, StoreResult, StoredObject};

/// Purpose and outcome of a call: `list targets`, `answered`.
type CallKey = (String, &'static str);

/// Store client that counts its calls.
pub struct CountedStore {
    store: Arc<dyn ObjectStore>,
    counts: Mutex<BTreeMap<CallKey, u64>>,
}

impl std::fmt::Debug for CountedStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CountedStore").finish_non_exhaustive()
    }
}

impl CountedStore {
    /// Wraps a store client.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self {
            store,
            counts: Mutex::default(),
        }
    }

    /// Returns the number of calls by purpose and outcome.
    pub fn counts(&self) -> BTreeMap<CallKey, u64> {
        let counts = self.counts.lock();
        counts.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of calls as one line: `list targets/answered:3,probe/lost:1`.
    #[must_use]
    pub fn summary(&self) -> String {
        let mut text = String::new();
        for ((call, outcome), count) in self.counts() {
            let separator = if text.is_empty() { "" } else { "," };
            // Writing to a string cannot fail.
            let _ = write!(text, "{separator}{call}/{outcome}:{count}");
        }
        text
    }

    async fn count<T>(
        &self,
        call: String,
        answer: BoxFuture<'_, StoreResult<T>>,
    ) -> StoreResult<T> {
        let mut counting = CountOnDrop {
            store: self,
            call,
            outcome: "given_up",
        };
        let answer = answer.await;
        counting.outcome = match &answer {
            Ok(_) => "answered",
            Err(StoreError::Outdated) => "outdated",
            Err(StoreError::Conflict(_)) => "conflict",
            Err(StoreError::NotDone(_)) => "refused",
            Err(StoreError::Lost(_)) => "lost",
        };
        answer
    }
}

/// Counts a call when dropped, so that calls whose future is cancelled are counted too.
struct CountOnDrop<'a> {
    store: &'a CountedStore,
    call: String,
    outcome: &'static str,
}

impl Drop for CountOnDrop<'_> {
    fn drop(&mut self) {
        let counts = self.store.counts.lock();
        let mut counts = counts.unwrap_or_else(PoisonError::into_inner);
        let key = (std::mem::take(&mut self.call), self.outcome);
        *counts.entry(key).or_default() += 1;
    }
}

impl ObjectStore for CountedStore {
    fn history(&self) -> History {
        self.store.history()
    }

    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, StoreResult<Listing>> {
        let answer = self.store.list(kind);
        self.count(format!("list {kind}"), answer).boxed()
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, StoreResult<(Vec<Change>, Version)>> {
        let answer = self.store.watch(kind, after, wait);
        self.count(format!("watch {kind}"), answer).boxed()
    }

    fn probe(&self) -> BoxFuture<'_, StoreResult<()>> {
        self.count("probe".to_owned(), self.store.probe()).boxed()
    }

    fn read<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, StoreResult<Option<StoredObject>>> {
        let answer = self.store.read(kind, name);
        self.count(format!("read {kind}"), answer).boxed()
    }

    fn write<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        expected_version: Version,
        content: Bytes,
    ) -> BoxFuture<'a, StoreResult<Version>> {
        let answer = self.store.write(kind, name, expected_version, content);
        self.count(format!("write {kind}"), answer).boxed()
    }
}
