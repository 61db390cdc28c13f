//! Targets that restart under their names: no report on one incarnation applies to another.

mod support;

use damaskstile_core::prelude::*;
use damaskstile_targets::{
    Choice, Listed, Part, Refused, ReportedLoad, TargetCounts, TargetTable, TargetTableOptions,
    Work,
};

use support::{Model, SERVICE, listed, refused};

/// Cases of the property, each with its own seed; each takes less than a millisecond.
const CASES: u64 = 3_000;
/// Steps of a case.
const STEPS: u64 = 120;
/// Names that targets restart under.
const NAMES: [&str; 3] = ["t0", "t1", "t2"];
/// Longest delay of a message.
const DELAY_MS_MAX: u64 = 1_500;

fn load(running: u64, waiting: u64) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting,
        ..ReportedLoad::default()
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn table() -> TargetTable {
    TargetTable::new("north", TargetTableOptions::default())
}

/// Selects a target among one name only.
fn choose(table: &TargetTable, now: Duration, name: &str, work: &Work) -> Option<Choice> {
    let others = NAMES.iter().filter(|other| **other != name);
    let others: Vec<TargetId> = others.map(|other| (*other).to_owned()).collect();
    table.choose(now, SERVICE, work, &others)
}

#[test]
fn a_late_report_on_the_previous_incarnation_removes_nothing() {
    // Guards against a target that receives no work after a restart. Its predecessor drains, it
    // restarts and is listed, and then a digest that reports the drain arrives late. It must name
    // the incarnation as well as the target.

    // Arrange
    let mut table = table();
    table.list(at(0), listed("t0", Some(5), false));
    table.list(at(10), listed("t0", Some(9), true));
    let before = TargetIdentity::new("t0", Some(5));

    // Act
    let is_new = table.leave(at(20), &before) || table.delist(at(30), &before);
    table.list(at(40), listed("t0", Some(5), false));

    // Assert
    let choice = choose(&table, at(50), "t0", &Work::default()).unwrap();
    assert!(!is_new);
    assert_eq!(choice.incarnation, Some(9));
}

#[test]
fn a_new_incarnation_inherits_no_state() {
    // Guards against state of a predecessor that is kept under the name. Sessions would go to the
    // target for parts that it no longer caches, and it would be charged with calls that ended with
    // its predecessor.

    // Arrange
    let mut table = table();
    table.list(at(0), listed("t0", Some(5), true));
    let part = Part {
        name: 7,
        tokens: 4_000,
    };
    let work = Work {
        prompt_tokens: 4_000,
        parts: vec![part],
        ..Work::default()
    };
    let old = choose(&table, at(0), "t0", &work).unwrap();
    let fresh_cost_ms = old.cost_ms;
    table.sent(at(0), &old, &work);
    table.failed(at(10), &old);
    table.report(at(10), &old, load(40, 40));

    // Act
    table.list(at(20), listed("t0", Some(9), true));
    let new = choose(&table, at(20), "t0", &work).unwrap();
    table.sent(at(20), &new, &work);
    let own_cost_ms = choose(&table, at(30), "t0", &work).unwrap().cost_ms;
    table.prefilled(&old);
    table.ended(&old);
    table.unanswered(at(30), &old);
    table.report(at(30), &old, load(40, 40));

    // Assert
    let after = choose(&table, at(30), "t0", &work).unwrap();
    assert!((new.cost_ms - fresh_cost_ms).abs() < f64::EPSILON);
    assert!((after.cost_ms - own_cost_ms).abs() < f64::EPSILON);
}

#[test]
fn a_refused_entry_is_not_treated_as_a_drain() {
    // Guards against calls to a target whose entry is invalid, and against a working target that
    // never receives work again. Another writer overwrites the entry, and the target's next
    // heartbeat corrects it. An invalid entry must neither be skipped nor be treated as a drain.

    // Arrange
    let mut table = table();
    table.list(at(0), listed("t0", Some(5), true));

    // Act
    let news = [table.refuse(&refused("t0")), table.refuse(&refused("t0"))];
    let meanwhile = choose(&table, at(10), "t0", &Work::default());
    let counts = table.counts();
    table.list(at(20), listed("t0", Some(5), true));

    // Assert
    assert_eq!(news, [true, false]);
    assert_eq!(meanwhile, None);
    let expected = TargetCounts {
        refused: 1,
        ..TargetCounts::default()
    };
    assert_eq!(counts, expected);
    assert!(choose(&table, at(30), "t0", &Work::default()).is_some());
}

#[test]
fn an_entry_that_omits_a_known_start_is_reported_once() {
    // Arrange
    let mut table = table();
    table.list(at(0), listed("t0", Some(5), true));
    let all = || vec![Ok(listed("t0", None, false))];

    // Act
    let first = table.list_all(at(10), all(), false);
    let again = table.list_all(at(20), all(), false);
    let meanwhile = table.usable_targets(at(30), SERVICE);
    table.list(at(40), listed("t0", Some(5), true));

    // Assert: it was no drain.
    let expected = Refused {
        target: "t0".to_owned(),
        fault: "the start is not stated".to_owned(),
    };
    assert_eq!(first, [expected]);
    assert_eq!(again, []);
    assert_eq!(meanwhile, 0);
    assert_eq!(table.usable_targets(at(50), SERVICE), 1);
}

#[test]
fn an_entry_without_a_start_is_invalid_where_others_state_theirs() {
    // Arrange
    let mut stated = table();
    let mut unstated = table();

    // Act
    let all = |starts: [Option<u64>; 3]| {
        let entries = NAMES.iter().zip(starts);
        entries
            .map(|(name, start)| Ok(listed(name, start, true)))
            .collect()
    };
    stated.list_all(at(0), all([Some(5), Some(6), None]), false);
    unstated.list_all(at(0), all([None, None, Some(5)]), false);

    // Assert
    assert_eq!(stated.usable_targets(at(10), SERVICE), 2);
    assert_eq!(stated.fault("t2"), Some("the start is not stated"));
    assert_eq!(unstated.usable_targets(at(10), SERVICE), 3);
}

/// An entry of the list, or none.
type Entry = Option<Result<Listed, Refused>>;

/// Message in transit to an instance.
#[derive(Debug, Clone)]
enum Message {
    /// The watch shows an entry, or its removal, perhaps around an outage.
    Change(TargetId, Entry, bool),
    /// A list that was pulled from a peer, with its version.
    Pulled(u64, Vec<Result<Listed, Refused>>),
    /// A digest: draining and delisted incarnations.
    Digest(Vec<TargetIdentity>, Vec<TargetIdentity>),
}

/// An instance, with a model of what it must know.
#[derive(Debug)]
struct Instance {
    table: TargetTable,
    model: Model,
    version: u64,
    calls: Vec<Choice>,
    /// Incarnations that something was recorded against.
    charged: BTreeSet<TargetIdentity>,
}

impl Instance {
    fn new() -> Self {
        Self {
            table: table(),
            model: Model::default(),
            version: 0,
            calls: Vec::new(),
            charged: BTreeSet::new(),
        }
    }

    fn take(&mut self, now: Duration, message: Message, is_list_reported: bool) {
        match message {
            Message::Change(_, Some(entry), _) => {
                self.model.show(&entry);
                match entry {
                    Ok(listed) => self.table.list(now, listed),
                    Err(refused) => self.table.refuse(&refused),
                };
            }
            Message::Change(name, None, is_around_outage) => {
                self.model.hide(now, &name, is_around_outage);
                self.table.unlist(now, &name, is_around_outage);
            }
            Message::Pulled(version, all) if version > self.version => {
                self.version = version;
                self.model.show_all(now, &all);
                self.table.list_all(now, all, false);
            }
            Message::Pulled(..) => {}
            Message::Digest(draining, delisted) => {
                for identity in draining {
                    self.model.leave(&identity);
                    self.table.leave(now, &identity);
                }
                for identity in delisted.iter().filter(|_| is_list_reported) {
                    self.model.delist(identity);
                    self.table.delist(now, identity);
                }
            }
        }
    }

    /// Checks that a name is in use exactly where the model says so, and that an incarnation
    /// without any recorded outcome costs nothing.
    fn check(&self, now: Duration) -> Result<(), String> {
        for name in NAMES {
            let choice = choose(&self.table, now, name, &Work::default());
            let chosen = choice.as_ref().map(Choice::identity);
            let expected = self.model.usable(now, name);
            if chosen != expected {
                return Err(format!("{now:?}: {chosen:?} in use, not {expected:?}"));
            }
            if let Some(choice) = choice
                && !self.charged.contains(&choice.identity())
                && choice.cost_ms > 0.0
            {
                return Err(format!("{now:?}: charged without a cause: {choice:?}"));
            }
        }
        Ok(())
    }

    /// Sends a call, or ends one that may have been sent long ago.
    fn call(&mut self, now: Duration, random: &mut Random) {
        let work = Work::default();
        let name = NAMES[random.index(NAMES.len())];
        if random.below(2) == 0 {
            if let Some(choice) = choose(&self.table, now, name, &work) {
                self.table.sent(now, &choice, &work);
                self.charged.insert(choice.identity());
                self.calls.push(choice);
            }
        } else if !self.calls.is_empty() {
            let choice = self.calls.swap_remove(random.index(self.calls.len()));
            match random.below(4) {
                0 => self.table.failed(now, &choice),
                1 => self.table.unanswered(now, &choice),
                2 => self.table.report(now, &choice, load(9, 9)),
                _ => self.table.succeeded(now, &choice),
            }
            self.table.ended(&choice);
        }
    }
}

/// Simulation of targets, their list, an instance that watches the list and one that has it from
/// the first.
#[derive(Debug)]
struct Simulation {
    random: Random,
    now: Duration,
    /// The newest incarnation of each name and whether it drains; no entry before the first.
    alive: BTreeMap<TargetId, (u64, bool)>,
    /// All incarnations so far.
    all: Vec<TargetIdentity>,
    watcher: Instance,
    follower: Instance,
    version: u64,
    /// Changes arrive in order, all other messages in any order.
    changes: VecDeque<(Duration, Message)>,
    messages: Vec<(Duration, bool, Message)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            random: Random::new(seed),
            now: Duration::ZERO,
            alive: BTreeMap::new(),
            all: Vec::new(),
            watcher: Instance::new(),
            follower: Instance::new(),
            version: 0,
            changes: VecDeque::new(),
            messages: Vec::new(),
        }
    }

    fn due(&mut self) -> Duration {
        self.now + at(self.random.below(DELAY_MS_MAX))
    }

    fn write_entry(&mut self, name: &str, entry: Entry) {
        let last = self.changes.back().map_or(Duration::ZERO, |(due, _)| *due);
        let due = self.due().max(last);
        let is_around_outage = self.random.below(3) == 0;
        let change = Message::Change(name.to_owned(), entry, is_around_outage);
        self.changes.push_back((due, change));
    }

    fn restart(&mut self, name: &str) {
        let incarnation = u64::try_from(self.now.as_millis()).unwrap() + 1;
        self.alive.insert(name.to_owned(), (incarnation, false));
        self.all.push(TargetIdentity::new(name, Some(incarnation)));
        self.write_entry(name, Some(Ok(listed(name, Some(incarnation), true))));
    }

    fn heartbeat(&mut self, name: &str) {
        if let Some((incarnation, is_draining)) = self.alive.get(name).copied() {
            let entry = listed(name, Some(incarnation), !is_draining);
            self.write_entry(name, Some(Ok(entry)));
        }
    }

    /// A write of any incarnation so far takes effect late.
    fn late_write(&mut self) {
        if self.all.is_empty() {
            return;
        }
        let identity = self.all[self.random.index(self.all.len())].clone();
        let is_ready = self.random.below(2) == 0;
        let entry = listed(&identity.target, identity.incarnation, is_ready);
        self.write_entry(&identity.target, Some(Ok(entry)));
    }

    fn write_stray_entry(&mut self, name: &str) {
        let is_ready = self.random.below(2) == 0;
        let entry = match self.random.below(2) {
            0 => Err(refused(name)),
            // All other entries state their starts.
            _ if self.all.iter().any(|one| one.target == name) => Ok(listed(name, None, is_ready)),
            _ => return,
        };
        self.write_entry(name, Some(entry));
    }

    /// Sends a digest of one instance to the other, up to twice.
    fn digest(&mut self, is_to_follower: bool) {
        let from = if is_to_follower {
            &self.watcher
        } else {
            &self.follower
        };
        let (draining, delisted) = (from.table.draining(self.now), from.table.delisted(self.now));
        for _ in 0..self.random.below(3) {
            let message = Message::Digest(draining.clone(), delisted.clone());
            let due = self.due();
            self.messages.push((due, is_to_follower, message));
        }
    }

    fn pull(&mut self) {
        self.version += 1;
        let all = self.watcher.table.present().cloned().map(Ok).collect();
        let due = self.due();
        let message = Message::Pulled(self.version, all);
        self.messages.push((due, true, message));
    }

    fn step(&mut self) {
        let name = NAMES[self.random.index(NAMES.len())];
        match self.random.below(12) {
            0 | 1 => self.restart(name),
            2 => {
                if let Some((_, is_draining)) = self.alive.get_mut(name) {
                    *is_draining = true;
                }
                self.heartbeat(name);
            }
            3 => self.write_entry(name, None),
            4 => self.write_stray_entry(name),
            5 => self.late_write(),
            6 | 7 => self.heartbeat(name),
            8 => self.pull(),
            9 => self.digest(true),
            10 => self.digest(false),
            _ => {
                self.watcher.call(self.now, &mut self.random);
                self.follower.call(self.now, &mut self.random);
            }
        }
    }

    /// Advances the time and delivers what is due.
    fn advance(&mut self, ms: u64) {
        self.now += at(ms);
        while let Some((due, change)) = self.changes.pop_front() {
            if due > self.now {
                self.changes.push_front((due, change));
                break;
            }
            self.watcher.take(self.now, change, false);
        }
        let now = self.now;
        let is_due = |message: &mut (Duration, bool, Message)| message.0 <= now;
        let due: Vec<_> = self.messages.extract_if(.., is_due).collect();
        for (_, is_to_follower, message) in due {
            if is_to_follower {
                self.follower.take(now, message, true);
            } else {
                self.watcher.take(now, message, false);
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        self.watcher
            .check(self.now)
            .and_then(|()| self.follower.check(self.now))
    }

    /// Lets all heartbeats, lists and messages arrive, and checks that each target that is alive
    /// and does not drain is in use at both instances.
    fn check_recovery(&mut self) -> Result<(), String> {
        for name in NAMES {
            self.heartbeat(name);
        }
        self.advance(DELAY_MS_MAX);
        self.advance(DELAY_MS_MAX);
        self.pull();
        self.advance(DELAY_MS_MAX);
        for (name, (incarnation, is_draining)) in &self.alive {
            let expected = (!is_draining).then_some(Some(*incarnation));
            for table in [&self.watcher.table, &self.follower.table] {
                let choice = choose(table, self.now, name, &Work::default());
                let chosen = choice.map(|choice| choice.incarnation);
                if chosen != expected && !self.was_reported_draining(name, *incarnation) {
                    return Err(format!("{name}: {chosen:?} in the end, not {expected:?}"));
                }
            }
        }
        Ok(())
    }

    /// Tells whether a late write said of a live incarnation that it drains, which is final.
    fn was_reported_draining(&self, name: &str, incarnation: u64) -> bool {
        let identity = TargetIdentity::new(name, Some(incarnation));
        self.watcher.model.has_drained(&identity) || self.follower.model.has_drained(&identity)
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut simulation = Simulation::new(seed);
    for _ in 0..STEPS {
        simulation.step();
        let ms = simulation.random.below(300);
        simulation.advance(ms);
        simulation.check()?;
    }
    simulation.check_recovery()
}

#[test]
fn exactly_the_valid_incarnations_are_used() {
    // Guards against calls to a draining target, and against a working one that is left out for
    // good, because a report on one incarnation was applied to another. Restarts, drains, late
    // writes, digests, lists and entries of other writers come in any order.
    for seed in 0..CASES {
        if let Err(error) = run(seed) {
            panic!("seed {seed}: {error}");
        }
    }
}

/// Start that an entry states by mistake.
const WRONG_START: u64 = 4_102_444_800_000;
/// Start of the target.
const START: u64 = 1_790_000_000_000;

/// Returns the time after which a standing entry is used.
fn wait() -> Duration {
    TargetTableOptions::default().standing_entry_wait
}

/// Returns a table of one target whose entry states a wrong start until 20 ms.
fn table_with_wrong_start(is_ready: bool) -> TargetTable {
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    table.list(at(0), listed("t0", Some(START), true));
    table.list(at(10), listed("t0", Some(WRONG_START), is_ready));
    table.list(at(20), listed("t0", Some(START), true));
    table
}

/// Returns the incarnation that gets calls.
fn used(table: &TargetTable, now: Duration) -> Option<TargetIncarnation> {
    let choice = table.choose(now, SERVICE, &Work::default(), &[]);
    choice.and_then(|choice| choice.incarnation)
}

#[test]
fn an_entry_that_stands_replaces_a_later_start() {
    // Guards against a working target that gets no calls until its clock has passed a start in the
    // future that another writer, or its own clock, once stated.
    for is_ready in [true, false] {
        // Arrange
        let mut table = table_with_wrong_start(is_ready);
        let due = at(20) + wait();

        // Act
        let early = table.apply_standing(due.saturating_sub(at(1)), false, true);
        let before = used(&table, due);
        let applied = table.apply_standing(due, false, true);

        // Assert
        assert_eq!(early, []);
        assert_eq!(before, is_ready.then_some(WRONG_START));
        assert_eq!(applied, [TargetIdentity::new("t0", Some(START))]);
        assert_eq!(used(&table, due), Some(START));
    }
}

#[test]
fn reports_on_a_wrong_start_change_nothing_afterwards() {
    // Guards against a target that is taken out of use again by peers that repeat what the wrong
    // entry said.

    // Arrange
    let mut table = table_with_wrong_start(false);
    let due = at(20) + wait();
    table.apply_standing(due, false, true);
    let wrong = TargetIdentity::new("t0", Some(WRONG_START));

    // Act
    let news = [table.leave(due, &wrong), table.delist(due, &wrong)];
    table.list(due, listed("t0", Some(WRONG_START), false));

    // Assert
    assert_eq!(news, [false, false]);
    assert_eq!(used(&table, due), Some(START));
}

#[test]
fn a_late_entry_changes_nothing_if_the_later_incarnation_writes_again() {
    // Guards against calls that name an ended incarnation: a write of it takes effect late, and the
    // next heartbeat of its successor replaces it.

    // Arrange
    let mut table = table_with_wrong_start(true);

    // Act
    table.list(at(1_200), listed("t0", Some(WRONG_START), true));
    let applied = table.apply_standing(at(1_200) + wait(), false, true);

    // Assert
    assert_eq!(applied, []);
    assert_eq!(used(&table, at(1_200) + wait()), Some(WRONG_START));
}

#[test]
fn a_late_entry_that_the_list_drops_is_not_used() {
    // Guards against calls to an ended target: its last write takes effect late, nobody writes the
    // entry again, and the list drops it, or another writer replaces it.

    // Arrange
    let mut dropped = table_with_wrong_start(true);
    let mut replaced = table_with_wrong_start(true);
    let mut left = table_with_wrong_start(true);

    // Act
    dropped.unlist(at(3_600), "t0", false);
    replaced.refuse(&refused("t0"));
    left.leave(at(3_600), &TargetIdentity::new("t0", Some(WRONG_START + 1)));

    // Assert: an instance that watches the list itself would have seen the entry of the one that
    // left.
    let now = at(20) + wait() * 2;
    for (table, is_watching) in [
        (&mut dropped, true),
        (&mut replaced, true),
        (&mut left, false),
    ] {
        assert_eq!(table.apply_standing(now, false, is_watching), []);
        assert_eq!(used(table, now), None);
    }
}

#[test]
fn a_report_on_a_wrong_start_takes_no_target_out_of_use_for_good() {
    // Guards against a working target that gets no calls at an instance that has read its entry and
    // learns only from a peer that a wrong start of it drains or was delisted.
    for is_drain in [true, false] {
        // Arrange
        let mut table = table();
        table.list(at(0), listed("t0", Some(START), true));
        let wrong = TargetIdentity::new("t0", Some(WRONG_START));
        let report = |table: &mut TargetTable, now| {
            if is_drain {
                table.leave(now, &wrong)
            } else {
                table.delist(now, &wrong)
            }
        };

        // Act
        let is_new = report(&mut table, at(10));
        let before = used(&table, at(20));
        let unwatched = table.apply_standing(at(10) + wait() * 2, false, false);
        let early = table.apply_standing(at(20) + wait() * 2, false, true);
        let due = at(10) + wait() * 3;
        let applied = table.apply_standing(due, false, true);
        let is_new_again = report(&mut table, due);

        // Assert
        assert!(is_new && !is_new_again);
        assert_eq!(before, None);
        assert_eq!((unwatched.len(), early.len(), applied.len()), (0, 0, 1));
        assert_eq!(used(&table, due), Some(START));
    }
}

#[test]
fn an_outage_of_the_list_does_not_count_as_standing() {
    // Guards against calls that name an ended incarnation: during an outage its successor cannot
    // replace the late entry.

    // Arrange
    let mut table = table_with_wrong_start(true);
    let end = at(20) + wait() * 4;

    // Act
    let during = table.apply_standing(end, true, true);
    let after = table.apply_standing(end + wait() / 2, false, true);
    let later = table.apply_standing(end + wait(), false, true);

    // Assert
    assert_eq!((during.len(), after.len(), later.len()), (0, 0, 1));
}

#[test]
fn a_restart_after_a_wrong_start_is_used_at_once() {
    // Guards against a target that waits after each of its restarts because of one wrong start.

    // Arrange
    let mut table = table_with_wrong_start(true);
    let due = at(20) + wait();
    table.apply_standing(due, false, true);

    // Act
    table.list(due, listed("t0", Some(START + 1), true));

    // Assert
    assert_eq!(used(&table, due), Some(START + 1));
}

/// Interval at which a target writes its entry.
const HEARTBEAT_MS: u64 = 1_200;
/// Silence after which the list drops an entry.
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;
/// Longest time after the end of an incarnation at which one of its writes takes effect.
const LATE_WRITE_MS_MAX: u64 = 2_000;
/// Longest time between the end of an incarnation and the start of the next one.
const DOWN_MS_MAX: u64 = 8_000;
/// Time that one simulation covers.
const SIMULATED_MS: u64 = 60_000;

/// Simulates a target that restarts while late writes of its earlier incarnations take effect, and
/// an instance that watches the list. Returns the time at which a late entry was used, if any.
fn time_of_used_late_entry(seed: u64) -> Option<u64> {
    let mut random = Random::new(seed);
    let mut table = table();
    let (mut start, mut starts_at, mut ends_at) = (0, 0, 0);
    let mut late_write_at = None;
    let mut stored: Option<u64> = None;
    let (mut written_at, mut heartbeat_at) = (0, 0);
    let mut events = VecDeque::new();
    for now in (0..SIMULATED_MS).step_by(50) {
        let before = stored;
        if now >= ends_at {
            let late_after = random.below(LATE_WRITE_MS_MAX);
            late_write_at = (start > 0).then_some((now + late_after, start));
            starts_at = now + random.below(DOWN_MS_MAX);
            ends_at = starts_at + random.below(6 * HEARTBEAT_MS);
            heartbeat_at = starts_at;
        }
        if let Some((_, late)) = late_write_at.take_if(|(at, _)| now >= *at) {
            (stored, written_at) = (Some(late), now);
        }
        if now >= heartbeat_at && now < ends_at {
            start = starts_at + 1;
            (stored, written_at) = (Some(start), now);
            heartbeat_at = now + HEARTBEAT_MS;
        }
        if now >= written_at + EXPIRY_MS {
            stored = None;
        }
        if stored != before {
            let last = events.back().map_or(0, |(due, _)| *due);
            events.push_back(((now + random.below(800)).max(last), stored));
        }
        while let Some((_, entry)) = events.pop_front_if(|(due, _)| now >= *due) {
            match entry {
                Some(start) => {
                    table.list(at(now), listed("t0", Some(start), true));
                }
                None => table.unlist(at(now), "t0", false),
            }
        }
        if !table.apply_standing(at(now), false, true).is_empty() {
            return Some(now);
        }
    }
    None
}

#[test]
fn no_late_write_of_an_ended_incarnation_is_used() {
    // Guards against calls that name an ended incarnation, and streams of two versions of software,
    // because a late entry is taken for one that a living target writes.
    for seed in 0..CASES {
        assert_eq!(time_of_used_late_entry(seed), None, "seed {seed}");
    }
}
