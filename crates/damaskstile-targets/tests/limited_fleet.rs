//! Calls that simulated fleets send to targets that advertise a limit. The instances share no clock
//! and learn of each other's reports late.

use damaskstile_core::prelude::*;
use damaskstile_targets::{
    AdvertisedLimit, LimitReport, Listed, TargetTable, TargetTableOptions, Work,
};

const SERVICE: &str = "model";
/// Sizes of fleets, up to the largest expected within two years.
const SIZES: [usize; 5] = [3, 9, 90, 295, 390];
/// Limits that a target advertises, in calls a second.
const LIMITS: [f64; 7] = [0.2, 0.4, 0.5, 1.5, 6.0, 12.0, 40.0];
/// Time between two steps of a simulation.
const STEP_MS: u64 = 20;
/// Calls that an instance begins in one step at most, in a thousand.
const BURST_PER_MILLE: u64 = 100;
/// Time after the first answer in which the limit reaches all instances.
const REPORTED_MS: u64 = 8_000;
/// Span in which calls are counted.
const COUNTED_MS: u64 = 4_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(target: &str, start: u64) -> Listed {
    Listed {
        target: target.to_owned(),
        incarnation: Some(start),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots_requests: 64,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

fn identity() -> TargetIdentity {
    TargetIdentity::new("t", Some(1))
}

/// A simulated fleet with one target that is the best for all of its calls.
struct Fleet {
    tables: Vec<TargetTable>,
    /// Instances that have ended.
    ended: BTreeSet<usize>,
    random: Random,
    /// When the target received calls.
    sent_ms: Vec<u64>,
    /// The limit that it advertises.
    advertised: AdvertisedLimit,
    /// Whether instances receive no reports of each other.
    is_isolated: bool,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let name = |index: usize| format!("i{index}");
        let tables = (0..size).map(|own| {
            let mut table = TargetTable::new("north", TargetTableOptions::default());
            table = table.for_instance(&name(own), Duration::ZERO);
            for other in 0..size {
                table.add_instance(&name(other), size as u64);
            }
            table.list(at(0), listed("t", 1));
            table
        });
        Self {
            tables: tables.collect(),
            ended: BTreeSet::new(),
            random: Random::new(seed),
            sent_ms: Vec::new(),
            advertised: AdvertisedLimit::Absent,
            is_isolated: false,
        }
    }

    /// Lets all instances call all the time. Answers arrive after a while, and each instance
    /// reports to three others once a second what it knows of the limit.
    fn play(&mut self, from_ms: u64, until_ms: u64) {
        let mut answers: Vec<(u64, usize, u64, AdvertisedLimit)> = Vec::new();
        for ms in (from_ms..until_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
            answers.retain(|(due_ms, own, sent_ms, advertised)| {
                let is_due = *due_ms <= ms;
                if is_due {
                    let table = &mut self.tables[*own];
                    table.apply_advertised_limit(at(ms), &identity(), at(*sent_ms), *advertised);
                }
                !is_due
            });
            for own in 0..self.tables.len() {
                if self.ended.contains(&own) {
                    continue;
                }
                let begins = self.random.below(1_000) < BURST_PER_MILLE;
                let choice =
                    begins.then(|| self.tables[own].choose(at(ms), SERVICE, &Work::default(), &[]));
                if let Some(choice) = choice.flatten()
                    && self.tables[own].claim_send(at(ms), &choice.identity())
                {
                    self.sent_ms.push(ms);
                    answers.push((ms + 40 + self.random.below(200), own, ms, self.advertised));
                }
                if ms % 1_000 == (own as u64 * STEP_MS) % 1_000 {
                    self.report(ms, own);
                }
            }
        }
    }

    fn report(&mut self, ms: u64, from: usize) {
        if self.is_isolated {
            return;
        }
        let reports = self.tables[from].limits_to_report(at(ms));
        for _ in 0..3 {
            let to = self.random.index(self.tables.len());
            for (target, report) in &reports {
                // The receiver does not know the time of transmission.
                let report = LimitReport {
                    at: report.at + at(5),
                    ..*report
                };
                self.tables[to].apply_limit_report(at(ms + 5), target, report);
            }
        }
    }

    /// Returns the most calls that the target received within the counted span, from a time on.
    fn most(&self, from_ms: u64) -> usize {
        let sent: Vec<u64> = self
            .sent_ms
            .iter()
            .copied()
            .filter(|ms| *ms >= from_ms)
            .collect();
        let within = |from: u64| {
            let span = from..from + COUNTED_MS;
            sent.iter().filter(|ms| span.contains(ms)).count()
        };
        sent.iter().map(|ms| within(*ms)).max().unwrap_or(0)
    }

    fn got(&self, from_ms: u64) -> usize {
        self.sent_ms.iter().filter(|ms| **ms >= from_ms).count()
    }
}

/// Returns the most calls that fall into the counted span if they come exactly at the limit.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a few calls
fn allowed_in_span(calls_per_s: f64) -> usize {
    (calls_per_s * 4.0).ceil() as usize
}

#[test]
fn a_target_gets_some_calls_but_no_more_than_it_advertises() {
    // Guards against instances that each keep to the limit independently.
    for size in SIZES {
        for calls_per_s in LIMITS {
            // Arrange
            let mut fleet = Fleet::new(size, 3);
            fleet.play(2_000, 3_000);
            fleet.advertised = AdvertisedLimit::CallsPerS(calls_per_s);

            // Act
            fleet.play(3_000, 3_000 + REPORTED_MS + 12_000);

            // Assert
            let most = fleet.most(3_000 + REPORTED_MS);
            let got = fleet.got(3_000 + REPORTED_MS);
            assert!(
                most <= allowed_in_span(calls_per_s),
                "{size}, {calls_per_s}: {most}"
            );
            assert!(got > 0, "{size}, {calls_per_s}");
        }
    }
}

#[test]
fn a_lowered_limit_holds_as_last_advertised() {
    // Guards against instances that keep to a limit that a peer reported earlier.
    for size in SIZES {
        // Arrange
        let mut fleet = Fleet::new(size, 9);
        fleet.advertised = AdvertisedLimit::CallsPerS(12.0);
        fleet.play(2_000, 12_000);

        // Act
        fleet.advertised = AdvertisedLimit::CallsPerS(1.5);
        fleet.play(12_000, 12_000 + REPORTED_MS + 12_000);

        // Assert
        let most = fleet.most(12_000 + REPORTED_MS);
        assert!(most <= allowed_in_span(1.5), "{size} instances: {most}");
    }
}

#[test]
fn isolated_instances_keep_to_a_limit_that_each_learned_of() {
    // Guards against senders that are determined by the reports received, not by the known
    // instances.
    for size in SIZES {
        // Arrange: each learns of the limit by an answer to a call of its own.
        let mut fleet = Fleet::new(size, 13);
        for table in &mut fleet.tables {
            table.apply_advertised_limit(
                at(2_000),
                &identity(),
                at(1_900),
                AdvertisedLimit::CallsPerS(6.0),
            );
        }
        fleet.advertised = AdvertisedLimit::CallsPerS(6.0);
        fleet.is_isolated = true;

        // Act: for as long as the first senders have their turn.
        fleet.play(2_000, 11_000);

        // Assert
        let most = fleet.most(2_000);
        assert!(most <= allowed_in_span(6.0), "{size} instances: {most}");
        assert!(most > 0);
    }
}

#[test]
fn a_limit_of_zero_lets_only_occasional_calls_through() {
    // Arrange
    let mut fleet = Fleet::new(9, 15);
    fleet.advertised = AdvertisedLimit::CallsPerS(0.0);
    fleet.play(2_000, 12_000);

    // Act
    fleet.play(12_000, 52_000);

    // Assert
    let got = fleet.got(12_000);
    assert!((1..=4).contains(&got), "{got} calls in 40 s");
}

#[test]
fn a_limit_ends_everywhere_soon_after_the_target_advertises_none() {
    // Guards against reports of the limit that circulate among instances after its end.
    for size in SIZES {
        // Arrange
        let mut fleet = Fleet::new(size, 5);
        fleet.advertised = AdvertisedLimit::CallsPerS(6.0);
        fleet.play(2_000, 12_000);

        // Act
        fleet.advertised = AdvertisedLimit::Absent;
        fleet.play(12_000, 22_000);

        // Assert
        let limited = fleet.tables.iter().map(TargetTable::limited_targets);
        assert_eq!(limited.sum::<usize>(), 0, "{size} instances");
    }
}

#[test]
fn other_instances_take_over_when_the_senders_have_ended() {
    // Guards against a target that no instance calls any more, so that the end of its limit is not
    // seen.
    for size in [9, 90] {
        // Arrange: all instances that may send have ended.
        let mut fleet = Fleet::new(size, 7);
        fleet.advertised = AdvertisedLimit::CallsPerS(1.5);
        fleet.play(2_000, 12_000);
        let may_send = |table: &TargetTable| {
            let choice = table.choose(at(14_000), SERVICE, &Work::default(), &[]);
            choice.is_some()
        };
        fleet.ended = (0..size)
            .filter(|own| may_send(&fleet.tables[*own]))
            .collect();
        assert!(!fleet.ended.is_empty());

        // Act
        fleet.play(12_000, 60_000);

        // Assert
        assert!(fleet.got(14_000) > 0, "{size} instances");
        assert!(
            fleet.most(14_000) <= allowed_in_span(1.5),
            "{size} instances"
        );
    }
}

#[test]
fn an_answer_to_an_earlier_call_does_not_end_a_limit() {
    // Arrange
    let mut fleet = Fleet::new(1, 1);
    let table = &mut fleet.tables[0];
    table.apply_advertised_limit(
        at(5_000),
        &identity(),
        at(4_900),
        AdvertisedLimit::CallsPerS(2.0),
    );

    // Act
    let late =
        table.apply_advertised_limit(at(5_100), &identity(), at(4_950), AdvertisedLimit::Absent);
    let unreadable = table.apply_advertised_limit(
        at(5_200),
        &identity(),
        at(5_150),
        AdvertisedLimit::Unreadable,
    );
    let limited = table.limited_targets();
    let after =
        table.apply_advertised_limit(at(5_300), &identity(), at(5_250), AdvertisedLimit::Absent);

    // Assert
    assert_eq!((late, unreadable, limited), (None, None, 1));
    assert_eq!(after.map(|report| report.calls_per_s), Some(None));
}

#[test]
fn a_limit_ends_with_its_incarnation() {
    // Arrange
    let mut fleet = Fleet::new(3, 1);
    let table = &mut fleet.tables[0];
    table.apply_advertised_limit(
        at(5_000),
        &identity(),
        at(4_900),
        AdvertisedLimit::CallsPerS(0.0),
    );

    // Act
    table.list(at(6_000), listed("t", 2));
    let report = LimitReport {
        calls_per_s: Some(0.0),
        at: at(6_500),
    };
    let is_new = table.apply_limit_report(at(6_500), &identity(), report);

    // Assert
    assert!(!is_new);
    assert_eq!(table.limited_targets(), 0);
}

#[test]
fn the_time_until_a_limit_has_room_again_is_known() {
    // Arrange: a limit that allows one call in 1.275 s.
    let mut fleet = Fleet::new(1, 1);
    let table = &mut fleet.tables[0];
    table.apply_advertised_limit(
        at(5_000),
        &identity(),
        at(4_900),
        AdvertisedLimit::CallsPerS(1.0),
    );
    let before = table.time_until_room(at(5_000), SERVICE);

    // Act
    let is_sent = table.claim_send(at(5_000), &identity());
    let after = table.time_until_room(at(5_275), SERVICE);
    let later = table.time_until_room(at(6_300), SERVICE);

    // Assert
    assert!(is_sent);
    assert_eq!((before, later), (None, None));
    assert_eq!(after, Some(at(1_000)));
}
