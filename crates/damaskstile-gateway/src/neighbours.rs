//! Load of the other instances of a data centre.

use damaskstile_core::prelude::*;

use crate::member::{Member, REPORT_LIFETIME};
use crate::peer_load::PeerLoad;

/// Age up to which a peer's report of its load counts. Digests reach an instance of a large fleet
/// every few seconds.
pub(crate) const REPORT_AGE_MAX: Duration = Duration::from_secs(6);

/// Age up to which a peer's report of an account's load counts. An account moves between instances
/// within seconds, and older reports would count its load twice.
const DEMAND_AGE_MAX: Duration = Duration::from_secs(3);
/// Precision of reported loads, which are in whole percents.
const REPORT_STEP: f64 = 0.01;
/// Factor over this instance's capacity from which on an instance counts as much larger.
const LARGER_FACTOR: u64 = 2;
/// Utilisation up to which an instance has room for an account's calls.
const ROOM_SHARE_MAX: f64 = 0.8;

/// Load of the other instances of a data centre, as last reported.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Neighbours {
    /// Number of instances that reported their load.
    pub count: usize,
    /// Number of those that are out of rotation.
    pub out: usize,
    /// Number of those in rotation that have at least as much load as this instance.
    pub busier: usize,
    /// Mean utilisation of those instances.
    pub mean_share: f64,
    /// Ratio of the largest to the smallest processor capacity, this instance included.
    pub capacity_ratio: f64,
    /// Processor capacity of this instance over the mean of those instances.
    pub relative_capacity: f64,
    /// Whether one of them is much larger than this instance and has room.
    pub has_larger: bool,
}

impl Neighbours {
    /// Sums up the reports of the members in a data centre. Their capacities count also while their
    /// load is not known, so that whether the data centre is uneven does not depend on which
    /// reports arrived last.
    #[must_use]
    pub fn of<'a>(
        now: Duration,
        data_centre: &str,
        capacity_percent: u64,
        share: f64,
        members: impl Iterator<Item = &'a Member> + Clone,
    ) -> Self {
        let (mut count, mut out, mut sum, mut capacities) = (0_u32, 0, 0.0, 0);
        let (mut busier, mut has_larger) = (0, false);
        let (mut least, mut most) = (capacity_percent.max(1), capacity_percent.max(1));
        let known = members
            .clone()
            .filter(|member| member.data_centre == data_centre && !member.is_stopping)
            .filter(|member| member.capacity_percent > 0)
            .filter(|member| now.saturating_sub(member.received_at) <= REPORT_LIFETIME);
        for member in known {
            least = least.min(member.capacity_percent);
            most = most.max(member.capacity_percent);
        }
        for (member, load) in reports(now, data_centre, members, REPORT_AGE_MAX) {
            count += 1;
            out += usize::from(!load.is_in_rotation);
            busier += usize::from(load.is_in_rotation && load.share + REPORT_STEP >= share);
            sum += load.share;
            let capacity = member.capacity_percent.max(1);
            capacities += capacity;
            let is_larger = capacity >= capacity_percent.saturating_mul(LARGER_FACTOR);
            has_larger |= is_larger && load.share < ROOM_SHARE_MAX;
        }
        #[allow(clippy::cast_precision_loss)] // percents of a core
        Self {
            count: usize::try_from(count).unwrap_or(usize::MAX),
            out,
            busier,
            mean_share: sum / f64::from(count.max(1)),
            capacity_ratio: most as f64 / least as f64,
            relative_capacity: capacity_percent as f64 * f64::from(count)
                / capacities.max(1) as f64,
            has_larger,
        }
    }

    /// Returns the load that the calls of an account would need that reach other instances of the
    /// data centre, as a share of this instance's capacity.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // percents of a core
    pub fn demand<'a>(
        now: Duration,
        data_centre: &str,
        capacity_percent: u64,
        account: &str,
        members: impl Iterator<Item = &'a Member>,
    ) -> f64 {
        let reports = reports(now, data_centre, members, DEMAND_AGE_MAX);
        let of_account = reports.filter_map(|(member, load)| {
            let busiest = load.busiest.as_ref()?;
            let capacity = member.capacity_percent as f64;
            (busiest.account == account).then_some(busiest.share * capacity)
        });
        of_account.sum::<f64>() / capacity_percent.max(1) as f64
    }
}

/// Returns the fresh reports of the members in a data centre.
pub(crate) fn reports<'a>(
    now: Duration,
    data_centre: &str,
    members: impl Iterator<Item = &'a Member>,
    age_max: Duration,
) -> impl Iterator<Item = (&'a Member, &'a PeerLoad)> {
    reports_of_all(now, members, age_max)
        .filter(move |(member, _)| member.data_centre == data_centre)
}

/// Returns the fresh reports of all members.
pub(crate) fn reports_of_all<'a>(
    now: Duration,
    members: impl Iterator<Item = &'a Member>,
    age_max: Duration,
) -> impl Iterator<Item = (&'a Member, &'a PeerLoad)> {
    members
        .filter(|member| !member.is_stopping)
        .filter_map(|member| Some((member, member.load.as_ref()?)))
        .filter(move |(_, load)| now.saturating_sub(load.at) <= age_max)
}
