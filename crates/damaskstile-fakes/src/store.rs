//! In-memory fake of the platform's object store.

use damaskstile::budgets::Ledger;
use damaskstile::core::prelude::*;
use damaskstile::core::store::{Object, StoreAnswer, StoreCall};

/// In-memory object store with compare-and-swap writes and fault injection.
#[derive(Debug, Default)]
pub struct FakeStore {
    objects: BTreeMap<String, Object>,
    revision: Version,
    /// Whether every call is lost without taking effect.
    pub is_out: bool,
    /// Number of upcoming writes that take effect but whose answers are lost.
    pub lose_answers: u64,
    /// Write calls so far, conflicts included.
    pub writes: u64,
    /// Read calls so far.
    pub reads: u64,
    /// Writes rejected because the expected version was not the current one.
    pub conflicts: u64,
    /// Invalid values that were stored: ledgers that break a rule and values above 1 MB.
    pub broken: Vec<String>,
}

impl FakeStore {
    /// Returns the object under a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns the objects whose keys begin with a prefix.
    pub fn list(&self, prefix: &str) -> impl Iterator<Item = (&String, &Object)> {
        self.objects
            .iter()
            .filter(move |(key, _)| key.starts_with(prefix))
    }

    /// Writes an object unconditionally and returns its new version.
    pub fn put(&mut self, key: &str, value: String) -> Version {
        self.revision += 1;
        let version = self.revision;
        self.check(key, &value);
        self.objects
            .insert(key.to_owned(), Object { version, value });
        version
    }

    /// Returns the ledger of a budget; empty if it is missing or invalid.
    #[must_use]
    pub fn ledger(&self, budget: &str) -> Ledger {
        self.get(&format!("budgets/{budget}"))
            .and_then(|object| Ledger::try_from_json(&object.value).ok())
            .unwrap_or_default()
    }

    /// Adds prepaid tokens to a budget.
    pub fn top_up(&mut self, budget: &str, id: &str, tokens: u64) {
        let mut ledger = self.ledger(budget);
        ledger.top_up(id, tokens);
        if let Ok(value) = ledger.to_json() {
            self.put(&format!("budgets/{budget}"), value);
        }
    }

    /// Executes a call.
    pub fn call(&mut self, call: StoreCall) -> StoreAnswer {
        if self.is_out {
            return StoreAnswer::Lost;
        }
        match call {
            StoreCall::Read { key } => {
                self.reads += 1;
                StoreAnswer::Found(self.get(&key).cloned())
            }
            StoreCall::Write {
                key,
                expected_version,
                value,
            } => self.write(&key, expected_version, value),
        }
    }

    fn write(&mut self, key: &str, expected_version: Version, value: String) -> StoreAnswer {
        self.writes += 1;
        let current = self.get(key).cloned();
        let version = current.as_ref().map_or(0, |object| object.version);
        if version != expected_version {
            self.conflicts += 1;
            return StoreAnswer::Conflict(current);
        }
        let version = self.put(key, value);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return StoreAnswer::Lost;
        }
        StoreAnswer::Written { version }
    }

    fn check(&mut self, key: &str, value: &str) {
        if value.len() > 1_000_000 {
            let bytes = value.len();
            self.broken
                .push(format!("{key}: value of {bytes} bytes, above 1 MB"));
        }
        if key.starts_with("budgets/")
            && let Err(error) = Ledger::try_from_json(value)
        {
            self.broken.push(format!("{key}: {error}"));
        }
    }
}
