//! Simulation of several holders that share a store, with the faults that may occur between them.

use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{
    EscrowOptions, Holder, Ledger, LedgerChange, Receipt, ReceiptScope, Report, Role, Round, Stamp,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Simulated accounts.
pub const ACCOUNTS: [&str; 2] = ["a", "b"];
/// Number of simulated instances.
pub const INSTANCES: usize = 4;
/// Size of a small fleet. Below the number of instances, so that the unlock rate changes while
/// grants are held.
const SMALL_FLEET: u32 = 2;
/// Default number of cases: enough to meet every pair of faults many times, within a second.
const CASES: u32 = 400;
/// Environment variable that sets another number of cases, for longer manual runs.
const CASES_VARIABLE: &str = "DAMASKSTILE_CASES";
/// Number of bits of a version below the history.
const REVISION_BITS: u32 = 40;
/// Number of digests that arrive in one step.
const DIGESTS: usize = 4;

/// One event of the simulation.
#[derive(Debug, Clone)]
pub enum Step {
    /// An instance reserves tokens for a call.
    Reserve(usize, usize, u64),
    /// The oldest call of an instance finishes with a percentage of its reservation used.
    Finish(usize, u64),
    /// An instance writes, with the given fate of the write.
    Write(usize, Fate),
    /// An instance sends a report to another, with the given fate of the message.
    Report(usize, usize, Fate),
    /// A delayed message between instances arrives.
    DeliverMessage(usize),
    /// An instance reads the ledger.
    Read(usize),
    /// A delayed write reaches the store.
    DeliverWrite(usize),
    /// An instance's process is killed, or its machine loses power (`true`), and it restarts
    /// without state.
    Restart(usize, bool),
    /// Time elapses in which no instance reaches the store.
    Isolation(u64),
    /// Too few peers are heard from to know the fleet clock (`true`), or enough again.
    FleetClockLoss(usize, bool),
    /// An instance transfers tokens to another; the message may get lost.
    Transfer(usize, usize, usize, u64, bool),
    /// An account buys more.
    TopUp(usize, u64),
    /// The next version of the catalogue lacks an account; an instance learns it at once.
    TakeOut(usize, usize),
    /// The next version of the catalogue has an account with a percentage of what it bought; an
    /// instance learns it at once.
    PutBack(usize, u64, usize),
    /// An instance learns the newest version of the catalogue.
    Learn(usize),
    /// The store is restored to its state some writes ago and has used some revisions since.
    Rewind(usize, u64),
}

/// Returns the configuration of a test of random histories.
pub fn config(seed: u64) -> Config {
    let asked = std::env::var(CASES_VARIABLE).ok();
    Config {
        cases: asked.map_or(CASES, |cases| cases.parse().unwrap()),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Generates steps with which accounts leave the catalogue and come back.
pub fn absence() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..ACCOUNTS.len(), 0..INSTANCES)
            .prop_map(|(account, index)| Step::TakeOut(account, index)),
        1 => (0..ACCOUNTS.len(), 50..=100_u64, 0..INSTANCES)
            .prop_map(|(account, percent, index)| Step::PutBack(account, percent, index)),
        3 => (0..INSTANCES).prop_map(Step::Learn),
    ]
}

/// Fate of a call or a message.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    /// It arrives, and so does its answer.
    Answered,
    /// It arrives, and its answer does not.
    AnswerLost,
    /// It arrives later or never.
    Held,
    /// It is refused without effect.
    Refused,
}

/// A message in flight between two instances.
#[derive(Debug)]
enum Message {
    /// To the instance that writes.
    Report(usize, Box<Report>),
    /// To the instance that reported.
    Receipt(usize, Receipt),
}

#[derive(Debug, Default)]
struct Store {
    history: History,
    /// Revision of the last change.
    revision: u64,
    /// The ledgers after each write, with their revisions.
    ledgers: Vec<(u64, Ledger)>,
    held: Vec<Round>,
}

fn revision(version: Version) -> u64 {
    version & ((1 << REVISION_BITS) - 1)
}

impl Store {
    fn latest(&self) -> (u64, Ledger) {
        self.ledgers.last().cloned().unwrap_or_default()
    }

    fn ledger(&self) -> Ledger {
        self.latest().1
    }

    /// Returns the version of the ledger, as an answer of the current history states it.
    fn version(&self) -> Version {
        match self.latest().0 {
            0 => 0,
            revision => (self.history << REVISION_BITS) | revision,
        }
    }

    /// Applies a write whose condition holds. The store compares revisions and knows no histories.
    fn write(&mut self, round: &Round) -> bool {
        let (latest, ledger) = self.latest();
        if revision(round.expected_version) != latest {
            return false;
        }
        // An instance must never mistake another's valid write for that of a different writer. A
        // ledger of an earlier history counts as a stale copy, whatever it contains.
        if round.ledger.history == ledger.history && ledger.history == self.history {
            assert_eq!(round.ledger.fault_after(&ledger), None);
        }
        self.revision += 1;
        self.ledgers.push((self.revision, round.ledger.clone()));
        true
    }

    fn rewind(&mut self, writes: usize, revisions: u64) {
        let left = self.ledgers.len().saturating_sub(writes);
        self.ledgers.truncate(left);
        self.revision = self.latest().0 + revisions;
        self.history += 1;
    }
}

/// Holders, a store and all messages in flight between them.
#[derive(Debug)]
pub struct Simulation {
    now: Duration,
    store: Store,
    holders: Vec<Holder>,
    incarnation: u64,
    in_flight: Vec<Message>,
    /// History that each instance last learned from the store itself.
    known_histories: [History; INSTANCES],
    /// Whether all peers receive each write.
    sends_to_all: bool,
    calls: Vec<VecDeque<(usize, u64)>>,
    /// What the accounts have bought at most.
    prepaid: BTreeMap<AccountId, u64>,
    /// Percentage of it that the newest version of the catalogue states; 0 if it lacks the account.
    listed_percent: [u64; 2],
    catalogue_version: Version,
    /// Offsets of the instances' boot clocks; a loss of power changes them.
    boot_offsets_ms: [u64; INSTANCES],
    is_fleet_clock_lost: [bool; INSTANCES],
    /// Tokens that targets actually used, by account, to compare the ledger with.
    spent: [u64; 2],
}

impl Simulation {
    /// Creates a simulation in its initial state.
    pub fn new() -> Self {
        let prepaid = ACCOUNTS.map(|name| (name.to_owned(), 10_000));
        let mut simulation = Self {
            now: Duration::ZERO,
            store: Store::default(),
            holders: Vec::new(),
            incarnation: 0,
            in_flight: Vec::new(),
            known_histories: [0; INSTANCES],
            sends_to_all: false,
            calls: vec![VecDeque::new(); INSTANCES],
            prepaid: BTreeMap::from(prepaid),
            listed_percent: [100; 2],
            catalogue_version: 1,
            boot_offsets_ms: [70_000, 9_000, 500_000, 0],
            is_fleet_clock_lost: [false; INSTANCES],
            spent: [0; 2],
        };
        for index in 0..INSTANCES {
            let holder = simulation.new_holder(index);
            simulation.holders.push(holder);
        }
        simulation
    }

    fn new_holder(&mut self, index: usize) -> Holder {
        self.incarnation += 1;
        let identity = Identity::new(&format!("i{index}"), self.incarnation, "north");
        let options = EscrowOptions {
            small_fleet: SMALL_FLEET,
            large_interval_scale: 2,
            ..EscrowOptions::default()
        };
        let mut holder = Holder::new(identity, &index.to_string(), options);
        holder.set_prepaid(self.catalogue_version, self.listed());
        holder
    }

    /// Returns the accounts of the newest version of the catalogue.
    fn listed(&self) -> BTreeMap<AccountId, u64> {
        let percents = ACCOUNTS.iter().zip(self.listed_percent);
        let listed = percents.filter(|(_, percent)| *percent > 0);
        let tokens = |(account, percent): (&&str, u64)| self.prepaid[*account] * percent / 100;
        let listed = listed.map(|one| (one.0.to_string(), tokens(one)));
        listed.collect()
    }

    fn learn(&mut self, index: usize) {
        let listed = self.listed();
        self.holders[index].set_prepaid(self.catalogue_version, listed);
    }

    /// Writes the next version of the catalogue.
    fn list(&mut self, account: usize, percent: u64) {
        self.catalogue_version += 1;
        self.listed_percent[account] = percent;
    }

    /// Applies one step.
    pub fn take(&mut self, step: &Step) {
        self.now += Duration::from_millis(300);
        self.send_digests();
        match *step {
            Step::Reserve(index, account, tokens) => self.reserve(index, account, tokens),
            Step::Finish(index, part) => self.finish(index, part),
            Step::Write(index, fate) => self.write(index, fate),
            Step::Report(from, to, fate) => self.report(from, to, fate),
            Step::DeliverMessage(index) => {
                if !self.in_flight.is_empty() {
                    let message = self.in_flight.remove(index % self.in_flight.len());
                    self.deliver(message);
                }
            }
            Step::Read(index) => self.read(index),
            Step::DeliverWrite(index) => {
                if !self.store.held.is_empty() {
                    let round = self.store.held.remove(index % self.store.held.len());
                    self.store.write(&round);
                }
            }
            Step::Isolation(ms) => self.now += Duration::from_millis(ms),
            Step::FleetClockLoss(index, is_lost) => self.is_fleet_clock_lost[index] = is_lost,
            Step::Restart(index, is_power_loss) => {
                if is_power_loss {
                    let offset = &mut self.boot_offsets_ms[index];
                    *offset = offset.wrapping_mul(31).wrapping_add(7_919) % 1_000_000;
                }
                // All calls in progress are spent in full, since no process counted their use.
                for (account, tokens) in std::mem::take(&mut self.calls[index]) {
                    self.spent[account] += tokens;
                }
                self.holders[index] = self.new_holder(index);
            }
            Step::Transfer(from, to, account, tokens, is_lost) => {
                let account = ACCOUNTS[account];
                let given = self.holders[from].transfer_out(self.now, account, tokens);
                if !is_lost {
                    self.holders[to].accept_transfer(account, given);
                }
            }
            Step::Rewind(writes, revisions) => self.store.rewind(writes, revisions),
            Step::TopUp(account, tokens) => {
                self.catalogue_version += 1;
                *self.prepaid.get_mut(ACCOUNTS[account]).unwrap() += tokens;
                (0..INSTANCES).for_each(|index| self.learn(index));
            }
            Step::TakeOut(account, index) => {
                self.list(account, 0);
                self.learn(index);
            }
            Step::PutBack(account, percent, index) => {
                self.list(account, percent);
                self.learn(index);
            }
            Step::Learn(index) => self.learn(index),
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
        self.note_history(index);
        let (version, ledger) = (self.store.version(), self.store.ledger());
        self.holders[index].observe(self.now, version, ledger);
    }

    /// Tells an instance the history that an answer of the store belongs to.
    fn note_history(&mut self, index: usize) {
        let history = self.store.history;
        self.known_histories[index] = history;
        self.holders[index].set_store_history(history);
    }

    /// Sends some instances the ledger version and store history that others know.
    fn send_digests(&mut self) {
        let draw = usize::try_from(self.now.as_millis() / 300).unwrap();
        for number in 0..DIGESTS {
            let from = (draw + number) % INSTANCES;
            let to = (from + 1 + draw / INSTANCES % (INSTANCES - 1)) % INSTANCES;
            let version = self.holders[from].ledger_version();
            let history = self.known_histories[from];
            self.holders[to].note_peer_ledger_version(version);
            self.holders[to].set_store_history(history);
        }
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
            Fate::Held => self.in_flight.push(message),
            Fate::AnswerLost | Fate::Refused => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(to, report) => {
                let from: usize = report.instance[1..].parse().unwrap();
                if let Some(receipt) = self.holders[to].accept_report(self.now, *report) {
                    self.deliver(Message::Receipt(from, receipt));
                }
            }
            Message::Receipt(to, receipt) => {
                self.holders[to].accept_receipt(self.now, &receipt);
            }
        }
    }

    /// Sends the receipts for a write; some get lost and some are delayed.
    fn send_receipts(&mut self, index: usize, reported: &BTreeMap<InstanceId, ReceiptScope>) {
        let fates = [Fate::Answered, Fate::Answered, Fate::Held, Fate::AnswerLost];
        let count = fates.len();
        let receipts = self.holders[index].receipts(reported);
        for (number, (address, receipt)) in receipts.into_iter().enumerate() {
            let to: usize = address.parse().unwrap();
            let fate = fates[(number + usize::try_from(self.store.revision).unwrap()) % count];
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
        // The store adapter makes no write based on a version of a history other than the one that
        // it knows.
        if round.expected_version > 0
            && round.expected_version >> REVISION_BITS != self.known_histories[index]
        {
            self.holders[index].note_not_written(round.number);
            self.read(index);
            return;
        }
        let is_known = self.known_histories[index] == self.store.history;
        match fate {
            Fate::Answered if !is_known => {
                self.store.write(&round);
                self.note_history(index);
                self.holders[index].note_in_doubt();
            }
            Fate::Answered => {
                if self.store.write(&round) {
                    self.spread(index, &round);
                    let reported = round.reported.clone();
                    let version = self.store.version();
                    self.holders[index].note_written(self.now, version, round);
                    self.send_receipts(index, &reported);
                } else {
                    self.holders[index].note_not_written(round.number);
                    self.read(index);
                }
            }
            Fate::AnswerLost => {
                self.store.write(&round);
                self.holders[index].note_in_doubt();
            }
            Fate::Held => {
                self.store.held.push(round);
                self.holders[index].note_in_doubt();
            }
            Fate::Refused => self.holders[index].note_not_written(round.number),
        }
    }

    /// Sends a write to the next instance, to two, or to all peers.
    fn spread(&mut self, index: usize, round: &Round) {
        let version = self.store.version();
        let instance = format!("i{index}");
        let Some(change) = LedgerChange::try_new(round, &instance, version) else {
            return;
        };
        let peers = match version.is_multiple_of(2) {
            _ if self.sends_to_all => INSTANCES - 1,
            true => 1,
            false => 2,
        };
        for step in 1..=peers {
            let peer = (index + step) % INSTANCES;
            self.holders[peer].apply_peer_change(self.now, change.clone());
        }
    }

    /// Returns the stamp of an instance. Its own time of day may be off by seconds; the fleet clock
    /// is off by less than the allowed margin.
    fn stamp(&self, index: usize) -> Stamp {
        let now_ms = u64::try_from(self.now.as_millis()).unwrap() + 1_000_000;
        let step_ms = now_ms / 1_000 % 4 * 1_000;
        let fleet_ms =
            (!self.is_fleet_clock_lost[index]).then_some(now_ms + now_ms / 300 % 3 * 100);
        Stamp {
            boot_name: String::new(),
            boot_ms: now_ms + self.boot_offsets_ms[index],
            unix_ms: now_ms - step_ms,
            fleet_early_ms: fleet_ms,
            fleet_late_ms: fleet_ms,
        }
    }

    /// Checks that the ledger covers all tokens used and does not exceed what was bought.
    pub fn check(&self) {
        for (index, account) in ACCOUNTS.iter().enumerate() {
            let prepaid = self.prepaid[*account];
            let ledger = &self.store.ledger();
            let committed = ledger.settled(account) + ledger.granted(account);
            assert!(committed <= prepaid, "{committed} committed of {prepaid}");
            let ran = self.spent[index] + self.running(index);
            assert!(ran <= committed, "{ran} ran, {committed} committed");
        }
    }

    /// Sends each write to all peers from now on.
    pub fn sending_to_all(mut self) -> Self {
        self.sends_to_all = true;
        self
    }

    /// Checks that the tokens used do not exceed what was bought, whatever the ledger says.
    pub fn check_spend(&self) {
        for (index, account) in ACCOUNTS.iter().enumerate() {
            let prepaid = self.prepaid[*account];
            let ran = self.spent[index] + self.running(index);
            assert!(ran <= prepaid, "{ran} ran of {prepaid}");
        }
    }

    fn running(&self, account: usize) -> u64 {
        let calls = self.calls.iter().flatten();
        let of_account = calls.filter(|(of, _)| *of == account);
        of_account.map(|(_, tokens)| tokens).sum()
    }
}
