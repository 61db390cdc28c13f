//! `store` fakes the platform's object API.

use damaskstile::budgets::Ledger;
use damaskstile::core::prelude::*;
use damaskstile::core::store::{Object, StoreAnswer, StoreCall};

/// `FakeStore` fakes the platform's object API.
#[derive(Debug, Default)]
pub struct FakeStore {
    objects: BTreeMap<String, Object>,
    revision: Version,
    /// Whether every call is lost without effect.
    pub is_out: bool,
    /// Writes from now on that take effect and whose answers are lost.
    pub lose_answers: u64,
    /// Writes so far.
    pub writes: u64,
    /// Reads so far.
    pub reads: u64,
    /// Writes that met another version.
    pub conflicts: u64,
    /// Rules of ledgers that a stored value broke.
    pub broken: Vec<String>,
}

impl FakeStore {
    /// Returns an object.
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

    /// Writes an object, whatever stands.
    pub fn put(&mut self, key: &str, value: String) -> Version {
        self.revision += 1;
        let version = self.revision;
        self.check(key, &value);
        self.objects
            .insert(key.to_owned(), Object { version, value });
        version
    }

    /// Returns a budget's ledger.
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

    /// Carries out a call.
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
        let standing = self.get(key).cloned();
        let version = standing.as_ref().map_or(0, |object| object.version);
        if version != expected_version {
            self.conflicts += 1;
            return StoreAnswer::Conflict(standing);
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
            self.broken.push(format!("{key}: above 1 MB"));
        }
        if key.starts_with("budgets/")
            && let Err(error) = Ledger::try_from_json(value)
        {
            self.broken.push(format!("{key}: {error}"));
        }
    }
}
