//! Instances of a data centre that take turns in a load balancer's rotation, by their load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use damaskstile_gateway::busiest_account::BusiestAccount;
use damaskstile_gateway::load_sharing::LoadSharing;
use damaskstile_gateway::member::Member;
use damaskstile_gateway::neighbours::Neighbours;
use damaskstile_gateway::peer_load::PeerLoad;
use damaskstile_gateway::peers::{Digest, LoadReport};
use damaskstile_gateway::rotation::Rotation;
use damaskstile_gateway::rotation_options::RotationOptions;

const DATA_CENTRE: &str = "north";
const ACCOUNT: &str = "large";
const ADDRESS: &str = "127.0.0.1:1";
/// Interval between two load samples.
const STEP: Duration = Duration::from_millis(250);
/// Calls a second that one percent of a core serves: a tenth of a core serves a hundred.
const CALLS_PER_PERCENT: f64 = 10.0;
/// Failed checks in a row after which the balancer sends no new connections.
const FAILED_CHECKS_MAX: u32 = 2;
/// Part of a second's calls on open connections that stays on them in the next.
const KEPT_PART: f64 = 0.6;

/// Returns the capacities of a data centre: small instances with two large ones among them.
fn uneven() -> Vec<u64> {
    let mut capacities = vec![12; 27];
    (capacities[6], capacities[20]) = (50, 50);
    capacities
}

/// A data centre behind a balancer that sends all new connections of the account to the first
/// instance in rotation; half of the calls come on new connections.
struct DataCentre {
    capacities: Vec<u64>,
    instances: Vec<LoadSharing>,
    members: BTreeMap<String, Member>,
    failed_checks: Vec<u32>,
    /// Calls a second on connections that are open at each instance.
    kept: Vec<f64>,
    shares: Vec<f64>,
    served: Vec<f64>,
    refused: f64,
    returns: usize,
    /// Highest number of instances that were out of rotation at a time.
    most_out: usize,
}

impl DataCentre {
    fn new(capacities: Vec<u64>, options: RotationOptions) -> Self {
        let count = capacities.len();
        let instance = |capacity: &u64| LoadSharing::new(DATA_CENTRE, *capacity, options);
        Self {
            instances: capacities.iter().map(instance).collect(),
            capacities,
            members: BTreeMap::new(),
            failed_checks: vec![0; count],
            kept: vec![0.0; count],
            shares: vec![0.05; count],
            served: vec![0.0; count],
            refused: 0.0,
            returns: 0,
            most_out: 0,
        }
    }

    fn first_in_rotation(&self) -> usize {
        let is_in = |failed_checks: &u32| *failed_checks < FAILED_CHECKS_MAX;
        self.failed_checks.iter().position(is_in).unwrap()
    }

    /// Lets the account send calls for one load sample.
    fn step(&mut self, index: u32, calls_per_s: f64) {
        let now = STEP * index;
        let step_s = STEP.as_secs_f64();
        let kept_sum: f64 = self.kept.iter().sum();
        let on_kept = kept_sum.min(calls_per_s / 2.0);
        let first = self.first_in_rotation();
        for at in 0..self.instances.len() {
            let share_of_kept = self.kept[at] / kept_sum.max(f64::MIN_POSITIVE);
            let new = if at == first {
                calls_per_s - on_kept
            } else {
                0.0
            };
            let arriving = on_kept * share_of_kept + new;
            self.kept[at] = self.kept[at] * KEPT_PART.powf(step_s) + new * step_s;
            #[allow(clippy::cast_precision_loss)] // percents of a core
            let bears = self.capacities[at] as f64 * CALLS_PER_PERCENT;
            self.served[at] += arriving.min(bears) * step_s;
            self.refused += (arriving - bears).max(0.0) * step_s;
            let needed = arriving / bears;
            self.shares[at] += (needed.min(1.2) + 0.05 - self.shares[at]) * 0.4;
            self.instances[at].add_call(now, ACCOUNT, [0.0, 0.0, needed * step_s]);
        }
        self.report(now);
        for (at, instance) in self.instances.iter_mut().enumerate() {
            let is_changed = instance.update(now, self.shares[at], &self.members);
            self.returns += usize::from(is_changed && instance.is_in_rotation());
            if index % 4 == u32::try_from(at).unwrap() % 4 {
                let failed_checks = &mut self.failed_checks[at];
                *failed_checks = if instance.is_in_rotation() {
                    0
                } else {
                    *failed_checks + 1
                };
            }
        }
        let out = self.instances.iter().filter(|one| !one.is_in_rotation());
        self.most_out = self.most_out.max(out.count());
    }

    /// Delivers the digests of all instances.
    fn report(&mut self, now: Duration) {
        for (at, instance) in self.instances.iter().enumerate() {
            let share = instance.busiest(now).map_or(0.0, |(_, share)| share);
            let load = LoadReport::of(&PeerLoad {
                at: now,
                share: self.shares[at],
                is_in_rotation: instance.is_in_rotation(),
                busiest: Some(BusiestAccount {
                    account: ACCOUNT.to_owned(),
                    share,
                    tokens_per_s: 0,
                }),
            });
            let digest = Digest {
                data_centre: DATA_CENTRE.to_owned(),
                capacity_percent: self.capacities[at],
                load: Some(Box::new(load)),
                ..Digest::default()
            };
            let address: SocketAddr = ADDRESS.parse().unwrap();
            let member = Member::new(1, address, now, &digest);
            self.members.insert(format!("i{at:02}"), member);
        }
    }

    fn run(&mut self, from: u32, seconds: u32, calls_per_s: f64) {
        (from * 4..(from + seconds) * 4).for_each(|index| self.step(index, calls_per_s));
    }
}

#[test]
fn an_account_too_large_for_small_instances_reaches_a_large_one() {
    // Guards against one account overloading the small instances of a data centre in turn while
    // the large ones are idle. Load: the account sends 60 calls a second, then bursts of 300, where
    // a small instance serves 120 and a large one 500.

    // Arrange
    let mut shared = DataCentre::new(uneven(), RotationOptions::Uneven);
    let mut alone = DataCentre::new(uneven(), RotationOptions::Never);

    // Act
    for data_centre in [&mut shared, &mut alone] {
        for burst in 0..4 {
            data_centre.run(burst * 15, 5, 60.0);
            data_centre.run(burst * 15 + 5, 10, 300.0);
        }
    }

    // Assert: without relative load, one instance refuses most of each burst.
    let all = 4.0 * (5.0 * 60.0 + 10.0 * 300.0);
    assert!(alone.refused > all * 0.5, "{}", alone.refused);
    assert!(shared.refused < all * 0.15, "{}", shared.refused);
    assert!(shared.served[6] > all * 0.4, "{:?}", shared.served);
}

#[test]
fn an_account_that_small_instances_can_serve_is_spread_over_them() {
    // Guards against all of an account's calls staying at the first instance up to its limit.
    // Load: 90 calls a second, three quarters of a small instance.

    // Arrange
    let mut shared = DataCentre::new(vec![12; 27], RotationOptions::Always);

    // Act
    shared.run(0, 60, 90.0);

    // Assert
    let most = shared.served.iter().copied().fold(0.0, f64::max);
    assert!(most < 60.0 * 90.0 / 3.0, "{:?}", shared.served);
    assert!(shared.refused < 1.0, "{}", shared.refused);
}

#[test]
fn small_instances_do_not_leave_for_each_other_without_end() {
    // Guards against instances that each assume that another has room: equal ones, an account
    // larger than any of them, and nothing to gain from moving it.

    // Arrange
    let mut shared = DataCentre::new(vec![12; 27], RotationOptions::Always);

    // Act
    shared.run(0, 60, 400.0);

    // Assert: at most two fifths are out at a time, and each stays out for seconds.
    assert!(shared.most_out <= 27 * 2 / 5, "{}", shared.most_out);
    assert!(shared.returns < 27 * 60 / 4, "{}", shared.returns);
}

#[test]
fn without_reports_an_instance_does_not_compare_itself() {
    // Guards against an isolated instance that stays out of rotation by reports of long ago.

    // Arrange
    let mut shared = DataCentre::new(uneven(), RotationOptions::Uneven);
    shared.run(0, 5, 110.0);
    let instance = &mut shared.instances[0];
    assert!(instance.applies() && !instance.is_in_rotation());

    // Act
    instance.update(Duration::from_secs(12), 0.9, &shared.members);

    // Assert: readiness then follows overload, as before.
    assert!(!instance.applies() && instance.is_in_rotation());
}

#[test]
fn a_busy_data_centre_keeps_its_instances_in_rotation() {
    // Guards against instances that leave where all others are as busy as they are.

    // Arrange
    let neighbours = Neighbours {
        count: 10,
        mean_share: 0.55,
        relative_capacity: 1.0,
        ..Neighbours::default()
    };
    let mut rotation = Rotation::default();

    // Act and assert
    assert!(rotation.update(STEP, 0.62, 0.3, &neighbours));
    assert!(!rotation.update(STEP, 0.8, 0.3, &neighbours));
}

/// Makes a member of the data centre from a digest that arrived at this time.
fn member(at_ms: u64, capacity_percent: u64, load_percent: Option<u64>) -> Member {
    let load = load_percent.map(|load_percent| {
        Box::new(LoadReport {
            load_percent,
            is_in_rotation: true,
            ..LoadReport::default()
        })
    });
    let digest = Digest {
        data_centre: DATA_CENTRE.to_owned(),
        capacity_percent,
        load,
        ..Digest::default()
    };
    let now = Duration::from_millis(at_ms);
    Member::new(1, ADDRESS.parse().unwrap(), now, &digest)
}

fn members(all: &[Member]) -> BTreeMap<String, Member> {
    let named = all.iter().enumerate();
    named
        .map(|(at, member)| (format!("i{at:02}"), member.clone()))
        .collect()
}

#[test]
fn a_late_report_of_the_only_large_instance_changes_no_decision() {
    // Guards against an instance that returns to rotation at once whenever the last report of the
    // only large instance is too old, since the data centre then seems to be even.

    // Arrange
    let mut instance = LoadSharing::new(DATA_CENTRE, 12, RotationOptions::Uneven);
    let small = |at_ms| member(at_ms, 12, Some(5));
    let first = members(&[small(0), small(0), member(0, 50, Some(5))]);
    instance.update(Duration::ZERO, 0.5, &first);
    assert!(instance.applies() && !instance.is_in_rotation());

    // Act
    let later = members(&[small(6_500), small(6_500), member(0, 50, Some(5))]);
    instance.update(Duration::from_millis(6_500), 0.5, &later);

    // Assert
    assert!(instance.applies() && !instance.is_in_rotation());
}

#[test]
fn a_large_instance_that_is_gone_does_not_make_a_data_centre_uneven() {
    // Guards against a data centre that counts as uneven for good after its only large instance was
    // removed.

    // Arrange
    let mut instance = LoadSharing::new(DATA_CENTRE, 12, RotationOptions::Uneven);
    let small = || member(130_000, 12, Some(5));
    let peers = members(&[small(), small(), member(0, 50, Some(5))]);

    // Act
    instance.update(Duration::from_secs(130), 0.5, &peers);

    // Assert
    assert!(!instance.applies() && instance.is_in_rotation());
}

#[test]
fn instances_of_unknown_capacity_do_not_make_a_data_centre_uneven() {
    // Guards against an instance of an older version, which reports no capacity, being taken for a
    // very small one.

    // Arrange
    let mut instance = LoadSharing::new(DATA_CENTRE, 100, RotationOptions::Uneven);
    let peers = members(&[
        member(0, 100, Some(5)),
        member(0, 100, Some(5)),
        member(0, 0, None),
    ]);

    // Act
    instance.update(Duration::ZERO, 0.5, &peers);

    // Assert
    assert!(!instance.applies() && instance.is_in_rotation());
}

#[test]
fn one_or_two_instances_do_not_compare_themselves() {
    // Guards against the only instance that callers can reach leaving rotation.

    for peers in [vec![], vec![member(0, 50, Some(1))]] {
        // Arrange
        let mut instance = LoadSharing::new(DATA_CENTRE, 12, RotationOptions::Always);

        // Act
        instance.update(Duration::ZERO, 0.9, &members(&peers));

        // Assert
        assert!(!instance.applies() && instance.is_in_rotation());
    }
}

/// Returns the reports of nine little-used neighbours, of which so many are out of rotation.
fn neighbours(out: usize) -> Neighbours {
    Neighbours {
        count: 9,
        out,
        mean_share: 0.1,
        relative_capacity: 1.0,
        has_larger: true,
        ..Neighbours::default()
    }
}

#[test]
fn at_most_two_fifths_of_a_data_centre_leave() {
    // Guards against so many instances out of rotation that the balancer uses all of them again,
    // also for an account that is too large for the instance. Four of ten may be out.

    for (share, demand) in [(0.9, 0.3), (0.2, 2.0)] {
        // Arrange
        let mut fourth = Rotation::default();
        let mut fifth = Rotation::default();

        // Act and assert
        assert!(!fourth.update(STEP, share, demand, &neighbours(3)));
        assert!(fifth.update(STEP, share, demand, &neighbours(4)));
    }
}

#[test]
fn an_instance_returns_if_too_many_others_left_at_the_same_time() {
    // Guards against instances that decide at the same moment and all stay out for as long as they
    // are loaded.

    // Arrange
    let mut rotation = Rotation::default();
    assert!(!rotation.update(Duration::ZERO, 0.9, 2.0, &neighbours(3)));

    // Act and assert
    assert!(!rotation.update(Duration::from_secs(1), 0.9, 2.0, &neighbours(5)));
    assert!(!rotation.update(Duration::from_secs(2), 0.9, 2.0, &neighbours(4)));
    assert!(rotation.update(Duration::from_secs(2), 0.9, 2.0, &neighbours(5)));
}

#[test]
fn a_large_instance_serves_what_small_ones_pass_on() {
    // Guards against the only large instance passing an account back to the small ones at a
    // utilisation at which it still has room.

    for (relative_capacity, share, is_in) in
        [(1.0, 0.5, false), (3.0, 0.7, true), (3.0, 0.9, false)]
    {
        // Arrange
        let mut rotation = Rotation::default();
        let neighbours = Neighbours {
            relative_capacity,
            has_larger: false,
            ..neighbours(0)
        };

        // Act and assert
        let found = rotation.update(STEP, share, 0.3, &neighbours);
        assert_eq!(found, is_in, "{relative_capacity} {share}");
    }
}

#[test]
fn equally_busy_instances_do_not_leave_at_the_same_moment() {
    // Guards against half of a data centre leaving, returning and leaving again together: all
    // decide before they know of each other. Load: 14 of 27 instances at 70 %.

    // Arrange
    let busy = (0..27).map(|at| member(0, 12, Some(if at < 14 { 70 } else { 5 })));
    let members = members(&busy.collect::<Vec<_>>());
    let instance = LoadSharing::new(DATA_CENTRE, 12, RotationOptions::Always);
    let mut instances = vec![instance; 14];

    // Act
    for instance in &mut instances {
        instance.update(STEP, 0.7, &members);
    }

    // Assert
    let left = instances.iter().filter(|one| !one.is_in_rotation()).count();
    assert!(left <= 27 * 2 / 5, "{left} left");
}
