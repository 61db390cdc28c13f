//! Model of what a target table must know of targets that restart.

use damaskstile_core::prelude::*;
use damaskstile_targets::{Listed, Refused, TargetTableOptions};

/// The one service of the tests.
pub const SERVICE: &str = "model";

/// Makes the entry of an incarnation.
pub fn listed(target: &str, incarnation: Option<u64>, is_ready: bool) -> Listed {
    Listed {
        target: target.to_owned(),
        incarnation,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots_requests: 64,
        is_ready,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

/// Makes an invalid entry.
pub fn refused(target: &str) -> Refused {
    Refused {
        target: target.to_owned(),
        fault: "broken".to_owned(),
    }
}

#[derive(Debug, Clone)]
struct Shown {
    listed: Listed,
    missing_since: Option<Duration>,
}

/// Keeps everything that one instance has received, in sets, and derives from it which targets are
/// usable.
#[derive(Debug, Default)]
pub struct Model {
    newest: BTreeMap<TargetId, Option<TargetIncarnation>>,
    drained: BTreeSet<TargetIdentity>,
    delisted: BTreeSet<TargetIdentity>,
    shown: BTreeMap<TargetId, Shown>,
    refused: BTreeSet<TargetId>,
}

impl Model {
    fn update_newest(&mut self, identity: &TargetIdentity) -> bool {
        let newest = self.newest.entry(identity.target.clone()).or_default();
        let is_current = identity.incarnation >= *newest;
        *newest = identity.incarnation.max(*newest);
        is_current
    }

    /// The list shows an entry.
    pub fn show(&mut self, entry: &Result<Listed, Refused>) {
        let listed = match entry {
            Ok(listed) => listed.clone(),
            Err(refused) => return self.refuse(&refused.target),
        };
        let identity = listed.identity();
        if !self.update_newest(&identity) {
            if listed.incarnation.is_none() {
                self.refuse(&listed.target);
            }
            return;
        }
        self.refused.remove(&listed.target);
        if listed.is_ready {
            self.delisted.remove(&identity);
        } else {
            self.drained.insert(identity);
        }
        let shown = Shown {
            listed,
            missing_since: None,
        };
        self.shown.insert(shown.listed.target.clone(), shown);
    }

    fn refuse(&mut self, target: &str) {
        self.refused.insert(target.to_owned());
        if let Some(shown) = self.shown.get_mut(target) {
            shown.missing_since = None;
        }
    }

    /// The list no longer shows an entry.
    pub fn hide(&mut self, now: Duration, target: &str, is_around_outage: bool) {
        let was_refused = self.refused.remove(target);
        if !is_around_outage || was_refused {
            self.shown.remove(target);
        } else if let Some(shown) = self.shown.get_mut(target) {
            shown.missing_since.get_or_insert(now);
        }
    }

    /// The whole list was received.
    pub fn show_all(&mut self, now: Duration, all: &[Result<Listed, Refused>]) {
        let names: Vec<TargetId> = self.shown.keys().chain(&self.refused).cloned().collect();
        let is_named = |name: &TargetId| {
            all.iter().any(|entry| match entry {
                Ok(listed) => listed.target == *name,
                Err(refused) => refused.target == *name,
            })
        };
        for name in names.iter().filter(|name| !is_named(name)) {
            self.hide(now, name, false);
        }
        for entry in all {
            self.show(entry);
        }
    }

    /// An incarnation is reported to drain.
    pub fn leave(&mut self, identity: &TargetIdentity) {
        self.update_newest(identity);
        self.drained.insert(identity.clone());
    }

    /// A peer reports that an incarnation is no longer listed.
    pub fn delist(&mut self, identity: &TargetIdentity) {
        self.update_newest(identity);
        self.delisted.insert(identity.clone());
    }

    /// Tells whether an incarnation was reported to drain.
    pub fn has_drained(&self, identity: &TargetIdentity) -> bool {
        self.drained.contains(identity)
    }

    /// Returns the incarnation of a name that must be in use; `None` if none may be.
    pub fn usable(&self, now: Duration, target: &str) -> Option<TargetIdentity> {
        let shown = self.shown.get(target)?;
        let identity = shown.listed.identity();
        let grace = TargetTableOptions::default().lapse_grace;
        let is_in_grace = shown.missing_since.is_none_or(|since| now < since + grace);
        let is_usable = shown.listed.is_ready
            && is_in_grace
            && self.newest.get(target) == Some(&identity.incarnation)
            && !self.refused.contains(target)
            && !self.drained.contains(&identity)
            && !self.delisted.contains(&identity);
        is_usable.then_some(identity)
    }
}
