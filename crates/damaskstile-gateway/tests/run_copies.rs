//! Decision on which runs get copies, in a simulated fleet without a network.

use std::collections::BTreeMap;
use std::time::Duration;

use damaskstile_core::random::Random;
use damaskstile_gateway::copy_options::CopyOptions;
use damaskstile_gateway::copy_reason::CopyReason;
use damaskstile_gateway::run_copies::{LostRuns, RunCopies};

const SERVICE: &str = "chat";
/// Service at which no target crashes.
const CALM_SERVICE: &str = "calm";
const INSTANCES: usize = 60;
const TARGETS: usize = 60;
/// Time between two runs of the fleet, of each service.
const RUN_INTERVAL: Duration = Duration::from_millis(4);
/// Duration of a run.
const RUN_TIME: Duration = Duration::from_secs(3);
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);
/// Peers that get each digest.
const DIGEST_PEERS: usize = 10;
/// Events of a run, more than a copy requires.
const EVENTS: u64 = 50;

/// Runs of one period.
#[derive(Debug, Default)]
struct Counts {
    runs: u64,
    copied: u64,
    calm_copied: u64,
    cut: u64,
    cut_without_copy: u64,
}

struct Fleet {
    instances: Vec<RunCopies>,
    random: Random,
    /// Open runs of the service by target: end, instance and whether there is a copy.
    open: BTreeMap<usize, Vec<(Duration, usize, bool)>>,
    now: Duration,
    digests_at: Duration,
}

impl Fleet {
    fn new() -> Self {
        let new = |_| RunCopies::new(CopyOptions::default());
        Self {
            instances: (0..INSTANCES).map(new).collect(),
            random: Random::new(7),
            open: BTreeMap::new(),
            now: Duration::ZERO,
            digests_at: Duration::ZERO,
        }
    }

    fn index(&mut self, below: usize) -> usize {
        self.random.index(below)
    }

    /// Runs the fleet for some time, in which the given targets crash one after the other.
    fn run(&mut self, time: Duration, crashing_targets: &[usize]) -> Counts {
        let (begin, end) = (self.now, self.now + time);
        let mut crashes = crashing_targets.iter();
        let pause = time / u32::try_from(crashing_targets.len() + 1).unwrap();
        let mut crash_at = begin + pause;
        let mut counts = Counts::default();
        while self.now < end {
            self.now += RUN_INTERVAL;
            self.begin_runs(&mut counts);
            if self.now >= crash_at {
                crash_at += pause;
                if let Some(target) = crashes.next() {
                    self.crash(*target, &mut counts);
                }
            }
            if self.now >= self.digests_at {
                self.digests_at += DIGEST_INTERVAL;
                self.send_digests();
            }
        }
        counts
    }

    fn begin_runs(&mut self, counts: &mut Counts) {
        let (instance, target) = (self.index(INSTANCES), self.index(TARGETS));
        let copies = &mut self.instances[instance];
        copies.note_begun(self.now, CALM_SERVICE);
        let calm = copies.reason(self.now, CALM_SERVICE, EVENTS, false);
        counts.calm_copied += u64::from(calm.is_some());
        let has_copy = copies.reason(self.now, SERVICE, EVENTS, false).is_some();
        copies.note_begun(self.now, SERVICE);
        counts.runs += 1;
        counts.copied += u64::from(has_copy);
        let open = self.open.entry(target).or_default();
        open.retain(|(end, ..)| *end > self.now);
        open.push((self.now + RUN_TIME, instance, has_copy));
    }

    fn crash(&mut self, target: usize, counts: &mut Counts) {
        for (end, instance, has_copy) in self.open.remove(&target).unwrap_or_default() {
            if end > self.now {
                if self.instances[instance].note_lost(self.now, SERVICE) {
                    self.send_digest(instance);
                }
                counts.cut += 1;
                counts.cut_without_copy += u64::from(!has_copy);
            }
        }
    }

    fn send_digests(&mut self) {
        for from in 0..INSTANCES {
            self.send_digest(from);
        }
    }

    fn send_digest(&mut self, from: usize) {
        let report = self.instances[from].report(self.now);
        for _ in 0..DIGEST_PEERS {
            let to = self.index(INSTANCES);
            if to != from {
                let copies = &mut self.instances[to];
                copies.apply_report(self.now, &format!("i{from}"), report.clone());
            }
        }
    }
}

#[test]
fn runs_are_copied_while_targets_crash_and_not_in_calm_times() {
    // Guards against copies that load targets in calm times, that begin after the crashes, or that
    // never cease; and against copies at a service whose targets do not crash. Load: 250 runs a
    // second of each of two services, first for 30 calm seconds; then 9 of 60 targets of one
    // service crash within 8 s, and after 10 s another quarter of them; then two calm minutes.

    // Arrange
    let mut fleet = Fleet::new();
    let (few, quarter): (Vec<usize>, Vec<usize>) = ((0..9).collect(), (9..24).collect());

    // Act
    let before = fleet.run(Duration::from_secs(30), &[]);
    let first = fleet.run(Duration::from_secs(8), &few);
    let between = fleet.run(Duration::from_secs(10), &[]);
    let second = fleet.run(Duration::from_secs(8), &quarter);
    let after = fleet.run(Duration::from_mins(2), &[]);
    let later = fleet.run(Duration::from_secs(10), &[]);

    // Assert
    println!("{before:?}\n{first:?}\n{between:?}\n{second:?}\n{after:?}\n{later:?}");
    assert_eq!(before.copied, 0);
    let cut = first.cut + second.cut;
    let cut_without_copy = first.cut_without_copy + second.cut_without_copy;
    assert!(cut >= 207, "{cut}");
    assert!(
        cut_without_copy * 207 < cut * 60,
        "{cut_without_copy} of {cut}"
    );
    assert!(second.cut_without_copy * 20 < second.cut, "{second:?}");
    assert!(after.copied * 2 < after.runs, "{after:?}");
    assert_eq!(later.copied, 0);
    let all = [&before, &first, &between, &second, &after, &later];
    assert!(all.iter().all(|counts| counts.calm_copied == 0), "{all:?}");
}

#[test]
fn a_single_crash_of_a_busy_service_causes_no_copies() {
    // Guards against copies of all streams of a large fleet for the end of one target.

    // Arrange
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(30), &[]);

    // Act
    let counts = fleet.run(Duration::from_secs(30), &[3]);

    // Assert
    assert!(counts.cut > 0);
    assert_eq!(counts.copied, 0, "{counts:?}");
}

#[test]
fn a_run_at_a_suspect_target_gets_a_copy_unless_it_is_short() {
    // Guards against copies that are never used because their runs end first.

    // Arrange
    let mut copies = RunCopies::new(CopyOptions::default());
    copies.note_lost(Duration::ZERO, SERVICE);
    let disabled = RunCopies::new(CopyOptions { is_enabled: false });

    // Act
    let reason = |events, is_suspect| copies.reason(Duration::ZERO, SERVICE, events, is_suspect);

    // Assert
    assert_eq!(reason(20, true), Some(CopyReason::SuspectTarget));
    assert_eq!(reason(20, false), Some(CopyReason::LostRuns));
    assert_eq!(reason(19, true), None);
    assert_eq!(disabled.reason(Duration::ZERO, SERVICE, 20, true), None);
}

#[test]
fn reports_of_a_peer_that_falls_silent_lose_their_effect() {
    // Guards against copies that go on because of the last report of an instance that has ended.

    // Arrange
    let mut copies = RunCopies::new(CopyOptions::default());
    let lost = LostRuns::try_new(Duration::ZERO, 5.0, 10.0).unwrap();
    copies.apply_report(Duration::ZERO, "peer", [(SERVICE.to_owned(), lost)]);

    // Act
    let reason_at = |s| copies.reason(Duration::from_secs(s), SERVICE, EVENTS, false);

    // Assert
    assert_eq!(reason_at(1), Some(CopyReason::LostRuns));
    assert_eq!(reason_at(61), None);
}
