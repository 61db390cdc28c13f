//! Sharing of load between the instances of a data centre: which of them take new connections.

use damaskstile_core::prelude::*;

use crate::account_demand::AccountDemand;
use crate::member::Member;
use crate::neighbours::Neighbours;
use crate::rotation::Rotation;
use crate::rotation_options::RotationOptions;
use crate::served_accounts::ServedAccounts;

/// Fewest neighbours whose load must be known for an instance to leave rotation by comparison.
const NEIGHBOURS_MIN: usize = 2;
/// Share of an instance that an account's calls must need for the instance to report its load to
/// all of its data centre.
const REPORTED_SHARE_MIN: f64 = 0.25;
/// Interval between two such reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// This instance's part in sharing load with the other instances of its data centre.
#[derive(Debug, Clone)]
pub struct LoadSharing {
    data_centre: DataCentreId,
    capacity_percent: u64,
    options: RotationOptions,
    account_demand: AccountDemand,
    served_accounts: ServedAccounts,
    neighbours: Neighbours,
    rotation: Rotation,
    /// When this instance last reported its load to its data centre, and whether it was in
    /// rotation.
    reported: Option<(Duration, bool)>,
}

impl LoadSharing {
    /// Creates the state of an instance with this processor capacity, in percent of a core.
    #[must_use]
    pub fn new(data_centre: &str, capacity_percent: u64, options: RotationOptions) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            capacity_percent,
            options,
            account_demand: AccountDemand::default(),
            served_accounts: ServedAccounts::default(),
            neighbours: Neighbours::default(),
            rotation: Rotation::default(),
            reported: None,
        }
    }

    /// Adds a call of an account. `needs_s` is what it takes of the incoming link, the outgoing
    /// link and the processor, in seconds of the capacity that calls may use.
    pub fn add_call(&mut self, now: Duration, account: &str, needs_s: [f64; 3]) {
        self.account_demand.add(now, account, needs_s);
    }

    /// Decides again whether this instance takes new connections, given its utilisation and the
    /// other instances; returns whether the decision changed.
    pub fn update(
        &mut self,
        now: Duration,
        share: f64,
        members: &BTreeMap<InstanceId, Member>,
    ) -> bool {
        let was_in = self.is_in_rotation();
        let (data_centre, capacity) = (&self.data_centre, self.capacity_percent);
        self.neighbours = Neighbours::of(now, data_centre, capacity, share, members.values());
        if !self.applies() {
            self.rotation.reset();
            return !was_in;
        }
        for (account, needed) in self.account_demand.shares(now) {
            self.served_accounts.note(now, account, needed);
        }
        let account_demand = &self.account_demand;
        let demand = self.served_accounts.highest_demand(now, |account| {
            account_demand.share(now, account)
                + Neighbours::demand(now, data_centre, capacity, account, members.values())
        });
        self.rotation.update(now, share, demand, &self.neighbours) != was_in
    }

    /// Returns whether this instance leaves rotation by its load relative to its neighbours.
    /// Without reports from some of them it leaves when it is overloaded.
    #[must_use]
    pub fn applies(&self) -> bool {
        self.neighbours.count >= NEIGHBOURS_MIN
            && self.options.applies(self.neighbours.capacity_ratio)
    }

    /// Returns whether this instance is in rotation, by its relative load.
    #[must_use]
    pub fn is_in_rotation(&self) -> bool {
        self.rotation.is_in()
    }

    /// Returns the time after which the balancer is likely to send a refused caller elsewhere.
    #[must_use]
    pub fn notice_left(&self, now: Duration) -> Duration {
        self.rotation.notice_left(now)
    }

    /// Returns the account whose calls need most of this instance, with that share.
    #[must_use]
    pub fn busiest(&self, now: Duration) -> Option<(&str, f64)> {
        self.account_demand.busiest(now)
    }

    /// Returns the load of the other instances of the data centre, as last summed up.
    #[must_use]
    pub fn neighbours(&self) -> &Neighbours {
        &self.neighbours
    }

    /// Returns whether the next digest goes to all instances of the data centre: once a second
    /// while an account uses much of this instance or the instance is out of rotation, and at once
    /// when that changes.
    pub fn must_report(&mut self, now: Duration) -> bool {
        if !self.applies() {
            return false;
        }
        let is_in = self.is_in_rotation();
        let busiest = self.busiest(now);
        let is_concerned = !is_in || busiest.is_some_and(|(_, share)| share >= REPORTED_SHARE_MIN);
        let is_due = self.reported.is_none_or(|(at, was_in)| {
            was_in != is_in || is_concerned && now.saturating_sub(at) >= REPORT_INTERVAL
        });
        if is_due {
            self.reported = Some((now, is_in));
        }
        is_due
    }
}
