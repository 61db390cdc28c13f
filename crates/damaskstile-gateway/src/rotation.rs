//! Decides when an instance leaves the load balancer's rotation and when it returns, by its own
//! utilisation and that of the other instances of its data centre.

use damaskstile_core::prelude::*;

use crate::neighbours::Neighbours;

/// Utilisation from which on an instance leaves rotation in any case. A balancer needs some seconds
/// to notice; until then the load of the same callers continues to grow.
pub(crate) const LEAVE_SHARE_MAX: f64 = 0.6;
/// Capacity over the mean of the others from which on an instance stays in rotation until it is
/// nearly full: it bears what small ones cannot, and the next in the balancer's order is likely to
/// be a small one.
const LARGE_FACTOR: f64 = 1.5;
/// Utilisation at which such an instance leaves.
const LARGE_LEAVE_SHARE: f64 = 0.9;
/// Factor and margin over the mean utilisation of the other instances from which on an instance
/// leaves rotation.
const LEAVE_FACTOR: f64 = 2.0;
const LEAVE_MARGIN: f64 = 0.1;
/// Margin over the mean utilisation of the others below which an instance returns.
const RETURN_MARGIN: f64 = 0.05;
/// Part of the utilisation at which an instance left below which it returns in any case.
const RETURN_PART: f64 = 0.5;
/// Shortest time out of rotation: the balancer's two checks, without which it notices nothing.
const OUT_TIME_MIN: Duration = Duration::from_secs(2);
/// Longest time out of rotation, unless one account needs more than the instance has.
const OUT_TIME_MAX: Duration = Duration::from_secs(8);
/// Time after a return within which leaving again doubles the time out of rotation.
const SOON: Duration = Duration::from_secs(8);
/// Share of the data centre's instances that may be out of rotation. Balancers use all instances
/// again where fewer than half are in rotation.
const OUT_PART_MAX: f64 = 0.4;
/// Time until a balancer that checks once a second has seen two failed checks.
const NOTICE_TIME: Duration = Duration::from_millis(2_200);
/// Demand of one account above which an instance that its callers reach stays out of rotation while
/// there is a larger instance. A balancer that hashes by caller would send it the whole account.
const DEMAND_MAX: f64 = 0.8;

/// Whether an instance is in the load balancer's rotation.
///
/// A balancer that hashes by caller sends all callers of an account to one instance. Open
/// connections stay where they are when the instance leaves rotation, and new ones go to the next
/// instance. So an instance that leaves while it still has room keeps its share of an account, and
/// the account is spread over several instances. One that leaves only when it is overloaded passes
/// on all of it.
#[derive(Debug, Clone, Default)]
pub struct Rotation {
    /// When the instance left rotation, and its utilisation then; `None` while it is in rotation.
    left: Option<(Duration, f64)>,
    returned_at: Option<Duration>,
    out_time: Duration,
}

impl Rotation {
    /// Updates the decision; returns whether the instance is in rotation. `share` is its
    /// utilisation, `demand` the share of its capacity that all calls of an account whose callers
    /// reach it would need.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::neighbours::Neighbours;
    /// use damaskstile_gateway::rotation::Rotation;
    /// let neighbours = Neighbours { count: 8, mean_share: 0.1, ..Neighbours::default() };
    /// let mut rotation = Rotation::default();
    /// assert!(rotation.update(Duration::ZERO, 0.2, 0.2, &neighbours));
    /// assert!(!rotation.update(Duration::from_secs(1), 0.5, 0.4, &neighbours));
    /// assert!(!rotation.update(Duration::from_secs(2), 0.1, 0.4, &neighbours));
    /// assert!(rotation.update(Duration::from_secs(4), 0.1, 0.4, &neighbours));
    /// ```
    pub fn update(
        &mut self,
        now: Duration,
        share: f64,
        demand: f64,
        neighbours: &Neighbours,
    ) -> bool {
        let is_too_small = demand > DEMAND_MAX && neighbours.has_larger;
        match self.left {
            None => {
                // Instances that are equally busy decide at the same moment, before they know of
                // each other. Only the busiest leave, so that too few are never left.
                let out = neighbours.out + 1;
                let is_busiest =
                    is_busier(share, neighbours) && may_be_out(out + neighbours.busier, neighbours);
                if is_busiest || is_too_small && may_be_out(out, neighbours) {
                    self.leave(now, share);
                }
            }
            Some((at, left_share)) => {
                let has_waited = now.saturating_sub(at) >= self.out_time;
                let return_share =
                    (neighbours.mean_share + RETURN_MARGIN).max(left_share * RETURN_PART);
                let must_return = !may_be_out(neighbours.out, neighbours);
                if has_waited && (share <= return_share && !is_too_small || must_return) {
                    self.left = None;
                    self.returned_at = Some(now);
                }
            }
        }
        self.left.is_none()
    }

    /// Returns whether the instance is in rotation, as last decided.
    #[must_use]
    pub fn is_in(&self) -> bool {
        self.left.is_none()
    }

    /// Puts the instance back in rotation, without waiting.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the time until the balancer is likely to have noticed that the instance left
    /// rotation; zero if the instance is in rotation or the balancer has noticed.
    #[must_use]
    pub fn notice_left(&self, now: Duration) -> Duration {
        self.left.map_or(Duration::ZERO, |(at, _)| {
            (at + NOTICE_TIME).saturating_sub(now)
        })
    }

    fn leave(&mut self, now: Duration, share: f64) {
        let is_soon = |at| now.saturating_sub(at) < SOON;
        self.out_time = if self.returned_at.is_some_and(is_soon) {
            (self.out_time * 2).min(OUT_TIME_MAX)
        } else {
            OUT_TIME_MIN
        };
        self.left = Some((now, share));
    }
}

/// Returns whether an instance has clearly more load than its neighbours.
fn is_busier(share: f64, neighbours: &Neighbours) -> bool {
    // The next instance in the balancer's order is likely to be an average one. The same callers
    // use more of it by the ratio of the capacities, and their load may grow by as much again.
    let size = neighbours.relative_capacity.max(1.0);
    let leave_share_max = if size >= LARGE_FACTOR {
        LARGE_LEAVE_SHARE
    } else {
        LEAVE_SHARE_MAX
    };
    let leave_share = (neighbours.mean_share * LEAVE_FACTOR + LEAVE_MARGIN) * size * size;
    let leave_share = leave_share.min(leave_share_max);
    share >= leave_share && share > neighbours.mean_share + LEAVE_MARGIN
}

/// Returns whether so many neighbours, or one of them and this instance, may be out of rotation.
#[allow(clippy::cast_precision_loss)] // a few hundred instances
fn may_be_out(out: usize, neighbours: &Neighbours) -> bool {
    out as f64 <= (neighbours.count + 1) as f64 * OUT_PART_MAX
}
