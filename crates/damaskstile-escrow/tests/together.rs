//! Several holders before one store whose answers get lost: spend never exceeds what was bought.

use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{
    EscrowOptions, Holder, Ledger, LedgerChange, Receipt, Report, Role, Round, Stamp,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const ACCOUNTS: [&str; 2] = ["a", "b"];
const INSTANCES: usize = 4;
/// Instances from which on rounds are slower, so that the pace changes while grants stand.
const SMALL_FLEET: u32 = 2;
/// Steps of one case.
const STEPS: usize = 120;
/// Cases that run always: enough to meet every pair of faults many times within a second.
const CASES: u32 = 400;
/// Variable that sets another number of cases, for longer runs by hand.
const CASES_VARIABLE: &str = "DAMASKSTILE_CASES";

/// `Step` is one thing that happens.
#[derive(Debug, Clone)]
enum Step {
    /// An instance reserves tokens for a call.
    Reserve(usize, usize, u64),
    /// The oldest call of an instance ends with a part of its reservation used.
    Finish(usize, u64),
    /// An instance writes, and the store and the network do as `Fate` says.
    Write(usize, Fate),
    /// An instance sends what it has to write to another, as `Fate` says of the message.
    Report(usize, usize, Fate),
    /// A message between instances arrives that was held up.
    Mail(usize),
    /// An instance reads the ledger.
    Read(usize),
    /// A write that is still under way reaches the store.
    Deliver(usize),
    /// An instance's process is killed, or it loses power, and it comes back with nothing.
    Restart(usize, bool),
    /// Time goes by, in which nobody reaches the store.
    Isolation(u64),
    /// Too few peers are heard to know the fleet's time, or enough again.
    Deafness(usize, bool),
    /// An instance hands tokens to another; the message may get lost.
    Give(usize, usize, usize, u64, bool),
    /// An account buys more.
    TopUp(usize, u64),
}

#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    /// The write arrives later or never.
    Held,
    /// The write is refused without effect.
    Refused,
}

/// `Message` is under way between two instances.
#[derive(Debug)]
enum Message {
    /// To the instance that writes.
    Report(usize, Box<Report>),
    /// To the instance that asked.
    Receipt(usize, Receipt),
}

#[derive(Debug, Default)]
struct Store {
    version: Version,
    ledger: Ledger,
    held: Vec<Round>,
}

impl Store {
    fn write(&mut self, round: &Round) -> bool {
        if round.expected_version != self.version {
            return false;
        }
        // An instance must never take another's true write for another writer's.
        assert_eq!(round.ledger.fault_after(&self.ledger), None);
        self.version += 1;
        self.ledger = round.ledger.clone();
        true
    }
}

#[derive(Debug)]
struct World {
    now: Duration,
    store: Store,
    holders: Vec<Holder>,
    incarnation: u64,
    mail: Vec<Message>,
    calls: Vec<VecDeque<(usize, u64)>>,
    prepaid: BTreeMap<AccountId, u64>,
    catalogue_version: Version,
    /// Difference of an instance's boot clock; a loss of power changes it.
    boot_offsets_ms: [u64; INSTANCES],
    is_deaf: [bool; INSTANCES],
    /// What targets truly ran, by account: the truth to compare with.
    spent: [u64; 2],
}

impl World {
    fn new() -> Self {
        let prepaid = ACCOUNTS.map(|name| (name.to_owned(), 10_000));
        let mut world = Self {
            now: Duration::ZERO,
            store: Store::default(),
            holders: Vec::new(),
            incarnation: 0,
            mail: Vec::new(),
            calls: vec![VecDeque::new(); INSTANCES],
            prepaid: BTreeMap::from(prepaid),
            catalogue_version: 1,
            boot_offsets_ms: [70_000, 9_000, 500_000, 0],
            is_deaf: [false; INSTANCES],
            spent: [0; 2],
        };
        for index in 0..INSTANCES {
            let holder = world.new_holder(index);
            world.holders.push(holder);
        }
        world
    }

    fn new_holder(&mut self, index: usize) -> Holder {
        self.incarnation += 1;
        let identity = Identity::new(&format!("i{index}"), self.incarnation, "north");
        let options = EscrowOptions {
            small_fleet: SMALL_FLEET,
            large_scale: 2,
            ..EscrowOptions::default()
        };
        let mut holder = Holder::new(identity, &index.to_string(), options);
        holder.set_prepaid(self.catalogue_version, self.prepaid.clone());
        holder
    }

    fn take(&mut self, step: &Step) {
        self.now += Duration::from_millis(300);
        match *step {
            Step::Reserve(index, account, tokens) => self.reserve(index, account, tokens),
            Step::Finish(index, part) => self.finish(index, part),
            Step::Write(index, fate) => self.write(index, fate),
            Step::Report(from, to, fate) => self.report(from, to, fate),
            Step::Mail(index) => {
                if !self.mail.is_empty() {
                    let message = self.mail.remove(index % self.mail.len());
                    self.deliver(message);
                }
            }
            Step::Read(index) => self.read(index),
            Step::Deliver(index) => {
                if !self.store.held.is_empty() {
                    let round = self.store.held.remove(index % self.store.held.len());
                    self.store.write(&round);
                }
            }
            Step::Isolation(ms) => self.now += Duration::from_millis(ms),
            Step::Deafness(index, is_deaf) => self.is_deaf[index] = is_deaf,
            Step::Restart(index, is_power_loss) => {
                if is_power_loss {
                    let offset = &mut self.boot_offsets_ms[index];
                    *offset = offset.wrapping_mul(31).wrapping_add(7_919) % 1_000_000;
                }
                // All that ran is spent in full, since nobody was there to count.
                for (account, tokens) in std::mem::take(&mut self.calls[index]) {
                    self.spent[account] += tokens;
                }
                self.holders[index] = self.new_holder(index);
            }
            Step::Give(from, to, account, tokens, is_lost) => {
                let account = ACCOUNTS[account];
                let given = self.holders[from].give(self.now, account, tokens);
                if !is_lost {
                    self.holders[to].take(account, given);
                }
            }
            Step::TopUp(account, tokens) => {
                self.catalogue_version += 1;
                *self.prepaid.get_mut(ACCOUNTS[account]).unwrap() += tokens;
                for holder in &mut self.holders {
                    holder.set_prepaid(self.catalogue_version, self.prepaid.clone());
                }
            }
        }
    }

    fn reserve(&mut self, index: usize, account: usize, tokens: u64) {
        let holder = &mut self.holders[index];
        holder.note_demand(self.now, ACCOUNTS[account], tokens, 0);
        if holder
            .try_reserve(self.now, ACCOUNTS[account], tokens, 0)
            .is_ok()
        {
            self.calls[index].push_back((account, tokens));
        }
    }

    fn finish(&mut self, index: usize, part: u64) {
        if let Some((account, tokens)) = self.calls[index].pop_front() {
            let used = tokens * part / 100;
            self.spent[account] += used;
            self.holders[index].release(ACCOUNTS[account], tokens, used);
        }
    }

    fn read(&mut self, index: usize) {
        let ledger = self.store.ledger.clone();
        self.holders[index].observe(self.now, self.store.version, ledger);
    }

    fn report(&mut self, from: usize, to: usize, fate: Fate) {
        if from == to {
            return;
        }
        let stamp = self.stamp(from);
        let holder = &mut self.holders[from];
        holder.set_role(Role::Member);
        if holder.needs_read(self.now) {
            self.read(from);
        }
        if let Some(report) = self.holders[from].next_report(self.now, &stamp) {
            self.send(Message::Report(to, Box::new(report)), fate);
        }
    }

    fn send(&mut self, message: Message, fate: Fate) {
        match fate {
            Fate::Answered => self.deliver(message),
            Fate::Held => self.mail.push(message),
            Fate::AnswerLost | Fate::Refused => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(to, report) => {
                let from: usize = report.instance[1..].parse().unwrap();
                if let Some(receipt) = self.holders[to].take_report(self.now, *report) {
                    self.deliver(Message::Receipt(from, receipt));
                }
            }
            Message::Receipt(to, receipt) => {
                self.holders[to].take_receipt(self.now, &receipt);
            }
        }
    }

    /// Sends the receipts of a write; some get lost and some are held up.
    fn send_receipts(&mut self, index: usize, reported: &BTreeMap<InstanceId, String>) {
        let fates = [Fate::Answered, Fate::Answered, Fate::Held, Fate::AnswerLost];
        let count = fates.len();
        let receipts = self.holders[index].receipts(reported);
        for (number, (address, receipt)) in receipts.into_iter().enumerate() {
            let to: usize = address.parse().unwrap();
            let fate = fates[(number + usize::try_from(self.store.version).unwrap()) % count];
            self.send(Message::Receipt(to, receipt), fate);
        }
    }

    fn write(&mut self, index: usize, fate: Fate) {
        self.holders[index].set_role(Role::Writer);
        if self.holders[index].needs_read(self.now) {
            self.read(index);
        }
        let stamp = self.stamp(index);
        let Some(round) = self.holders[index].next_round(self.now, &stamp) else {
            return;
        };
        match fate {
            Fate::Answered => {
                if self.store.write(&round) {
                    self.spread(index, &round);
                    let reported = round.reported.clone();
                    self.holders[index].written(self.now, self.store.version, round);
                    self.send_receipts(index, &reported);
                } else {
                    self.holders[index].not_written(round.number);
                    self.read(index);
                }
            }
            Fate::AnswerLost => {
                self.store.write(&round);
                self.holders[index].in_doubt();
            }
            Fate::Held => {
                self.store.held.push(round);
                self.holders[index].in_doubt();
            }
            Fate::Refused => self.holders[index].not_written(round.number),
        }
    }

    /// Tells the next instance of a write, and sometimes one more.
    fn spread(&mut self, index: usize, round: &Round) {
        let version = self.store.version;
        let instance = format!("i{index}");
        let Some(change) = LedgerChange::try_new(round, &instance, version) else {
            return;
        };
        let peers = if version.is_multiple_of(2) { 1 } else { 2 };
        for step in 1..=peers {
            let peer = (index + step) % INSTANCES;
            self.holders[peer].hear(self.now, change.clone());
        }
    }

    /// Makes the stamp of an instance. Its own time of day may be off by seconds; the fleet's
    /// time is off by less than the margin that is allowed for.
    fn stamp(&self, index: usize) -> Stamp {
        let now_ms = u64::try_from(self.now.as_millis()).unwrap() + 1_000_000;
        let step_ms = now_ms / 1_000 % 4 * 1_000;
        let fleet_ms = (!self.is_deaf[index]).then_some(now_ms + now_ms / 300 % 3 * 100);
        Stamp {
            boot_name: String::new(),
            boot_ms: now_ms + self.boot_offsets_ms[index],
            unix_ms: now_ms - step_ms,
            fleet_early_ms: fleet_ms,
            fleet_late_ms: fleet_ms,
        }
    }

    fn check(&self) {
        for (index, account) in ACCOUNTS.iter().enumerate() {
            let prepaid = self.prepaid[*account];
            let running: u64 = self
                .calls
                .iter()
                .flatten()
                .filter(|(of, _)| *of == index)
                .map(|(_, tokens)| tokens)
                .sum();
            let ledger = &self.store.ledger;
            let committed = ledger.settled(account) + ledger.granted(account);
            assert!(committed <= prepaid, "{committed} committed of {prepaid}");
            let ran = self.spent[index] + running;
            assert!(ran <= committed, "{ran} ran, {committed} committed");
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Held),
        1 => Just(Fate::Refused),
    ];
    let step = prop_oneof![
        6 => (0..INSTANCES, 0..2_usize, 1..1_500_u64)
            .prop_map(|(index, account, tokens)| Step::Reserve(index, account, tokens)),
        4 => (0..INSTANCES, 0..=100_u64).prop_map(|(index, part)| Step::Finish(index, part)),
        6 => (0..INSTANCES, fate.clone())
            .prop_map(|(index, fate)| Step::Write(index, fate)),
        5 => (0..INSTANCES, 0..INSTANCES, fate)
            .prop_map(|(from, to, fate)| Step::Report(from, to, fate)),
        2 => (0..16_usize).prop_map(Step::Mail),
        1 => (0..INSTANCES).prop_map(Step::Read),
        1 => (0..8_usize).prop_map(Step::Deliver),
        2 => (0..INSTANCES, any::<bool>())
            .prop_map(|(index, is_power_loss)| Step::Restart(index, is_power_loss)),
        1 => (0..9_000_u64).prop_map(Step::Isolation),
        2 => (0..INSTANCES, 0..INSTANCES, 0..2_usize, 1..900_u64, any::<bool>()).prop_map(
            |(from, to, account, tokens, is_lost)| Step::Give(from, to, account, tokens, is_lost)
        ),
        1 => (0..INSTANCES, any::<bool>())
            .prop_map(|(index, is_deaf)| Step::Deafness(index, is_deaf)),
        1 => (0..2_usize, 1..3_000_u64).prop_map(|(account, tokens)| Step::TopUp(account, tokens)),
    ];
    prop::collection::vec(step, STEPS)
}

#[test]
fn spend_never_exceeds_what_was_bought() {
    let asked = std::env::var(CASES_VARIABLE).ok();
    let config = Config {
        cases: asked.map_or(CASES, |cases| cases.parse().unwrap()),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    proptest!(config, |(steps in steps())| {
        let mut world = World::new();
        for step in &steps {
            world.take(step);
            world.check();
        }
    });
}
