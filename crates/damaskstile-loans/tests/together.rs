//! Lenders and borrowers whose messages are lost, delayed, duplicated and reordered, whose
//! processes end and whose store loses answers: spend never exceeds what was bought.

use std::net::SocketAddr;
use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{EscrowOptions, Holder, Ledger, Round, Stamp};
use damaskstile_loans::lender::LoanId;
use damaskstile_loans::{
    Borrower, Candidate, Lender, LoanAnswer, LoanEnds, LoanEndsAck, LoanNumber, LoanOutcome,
    LoanRequest,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const ACCOUNT: &str = "a";
/// Account that every catalogue has, so that an instance has something to write.
const OTHER: &str = "b";
const PREPAID_TOKENS: u64 = 2_500;
const INSTANCES: usize = 4;
/// Steps of one proptest case.
const STEPS: usize = 240;
/// Default number of cases: enough to meet every pair of faults many times, within a second.
const CASES: u32 = 400;
/// Environment variable that sets another number of cases, for longer manual runs.
const CASES_VARIABLE: &str = "DAMASKSTILE_CASES";

/// One event of the simulation.
#[derive(Debug, Clone)]
enum Step {
    /// An instance requests a call's tokens from another.
    Borrow(usize, usize, u64),
    /// An instance that holds tokens reserves them for a call itself.
    Reserve(usize, u64),
    /// The oldest call of an instance finishes with a percentage of its tokens used.
    Finish(usize, u64),
    /// An instance gives up its oldest request.
    GiveUp(usize),
    /// The oldest request of an instance is sent again.
    RepeatRequest(usize),
    /// A message arrives; a copy of it may stay in flight.
    Deliver(usize, bool),
    /// A message gets lost.
    Lose(usize),
    /// An instance reports which of its loans have ended.
    SendEnds(usize),
    /// An instance retries the requests that wait for tokens, and expires loans whose end was not
    /// reported.
    RetryWaiting(usize),
    /// An instance writes to the ledger; the answer may get lost.
    Write(usize, bool),
    /// An instance learns the newest catalogue and reads the ledger.
    Read(usize),
    /// The next version of the catalogue has the account or lacks it (`false`).
    List(bool),
    /// An instance's process is killed, or its machine loses power (`true`), and it restarts
    /// without state.
    Restart(usize, bool),
    /// Time elapses.
    Time(u64),
}

#[derive(Debug, Clone)]
enum Body {
    Request(LoanRequest),
    Answer(LoanAnswer),
    Ends(LoanEnds),
    EndsTaken(LoanEndsAck),
}

/// A message in flight between two instances.
#[derive(Debug, Clone)]
struct Message {
    from: usize,
    incarnation: Incarnation,
    to: usize,
    body: Body,
}

/// Source of a call's tokens.
#[derive(Debug, Clone, Copy)]
enum Source {
    Own,
    Loan(LoanNumber),
}

#[derive(Debug)]
struct Instance {
    incarnation: Incarnation,
    holder: Holder,
    lender: Lender,
    borrower: Borrower,
    /// Requests without a loan: the message and the tokens of its call.
    requests: VecDeque<(Message, u64)>,
    /// Calls in progress, with their tokens.
    calls: VecDeque<(Source, u64)>,
}

#[derive(Debug)]
struct Simulation {
    now: Duration,
    version: Version,
    ledger: Ledger,
    instances: Vec<Instance>,
    in_flight: Vec<Message>,
    incarnation: Incarnation,
    /// Offsets of the instances' boot clocks; a loss of power changes them.
    boot_offsets_ms: [u64; INSTANCES],
    catalogue_version: Version,
    /// Whether the newest version of the catalogue has the account.
    is_listed: bool,
    /// Tokens that targets actually used, to compare the ledger with.
    spent_tokens: u64,
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:7200", index + 1).parse().unwrap()
}

fn name(index: usize) -> String {
    format!("i{index}")
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            version: 0,
            ledger: Ledger::default(),
            instances: Vec::new(),
            in_flight: Vec::new(),
            incarnation: 0,
            boot_offsets_ms: [70_000, 9_000, 500_000, 0],
            catalogue_version: 1,
            is_listed: true,
            spent_tokens: 0,
        };
        for index in 0..INSTANCES {
            let instance = simulation.new_instance(index);
            simulation.instances.push(instance);
        }
        simulation
    }

    fn new_instance(&mut self, index: usize) -> Instance {
        self.incarnation += 1;
        let identity = Identity::new(&name(index), self.incarnation, "north");
        let options = EscrowOptions {
            small_fleet: 2,
            ..EscrowOptions::default()
        };
        let mut holder = Holder::new(identity, &index.to_string(), options);
        if self.now.is_zero() {
            self.learn_accounts(&mut holder);
        }
        Instance {
            incarnation: self.incarnation,
            holder,
            lender: Lender::default(),
            borrower: Borrower::new(self.incarnation),
            requests: VecDeque::new(),
            calls: VecDeque::new(),
        }
    }

    fn learn_accounts(&self, holder: &mut Holder) {
        let accounts = [ACCOUNT, OTHER].into_iter();
        let accounts = accounts.filter(|account| self.is_listed || *account == OTHER);
        let accounts = accounts.map(|account| (account.to_owned(), PREPAID_TOKENS));
        holder.set_prepaid(self.catalogue_version, accounts.collect());
    }

    fn take(&mut self, step: &Step) {
        self.now += Duration::from_millis(100);
        let now = self.now;
        match *step {
            Step::Borrow(from, to, tokens) => self.borrow(from, to, tokens),
            Step::Reserve(index, tokens) => {
                let instance = &mut self.instances[index];
                instance.holder.note_demand(now, ACCOUNT, tokens, 0);
                let reserved = instance.holder.try_reserve(now, ACCOUNT, tokens, 0);
                if reserved.is_ok() {
                    instance.calls.push_back((Source::Own, tokens));
                }
            }
            Step::Finish(index, part) => self.finish(index, part),
            Step::GiveUp(index) => {
                let instance = &mut self.instances[index];
                if let Some((message, _)) = instance.requests.pop_front() {
                    instance.borrower.end(now, number_of(&message), 0);
                }
            }
            Step::RepeatRequest(index) => {
                let again = self.instances[index].requests.front().cloned();
                self.in_flight.extend(again.map(|(message, _)| message));
            }
            Step::Deliver(index, is_duplicated) => {
                if !self.in_flight.is_empty() {
                    let at = index % self.in_flight.len();
                    let message = if is_duplicated {
                        self.in_flight[at].clone()
                    } else {
                        self.in_flight.swap_remove(at)
                    };
                    self.deliver(message);
                }
            }
            Step::Lose(index) => {
                if !self.in_flight.is_empty() {
                    let at = index % self.in_flight.len();
                    self.in_flight.swap_remove(at);
                }
            }
            Step::SendEnds(index) => {
                for (to, ends) in self.instances[index].borrower.ends_due(now) {
                    self.send(index, to, Body::Ends(ends));
                }
            }
            Step::RetryWaiting(index) => {
                let Instance { lender, holder, .. } = &mut self.instances[index];
                lender.expire(holder, now);
                for (to, answer) in lender.retry_waiting(holder, now) {
                    self.send(index, to, Body::Answer(answer));
                }
            }
            Step::Write(index, is_answer_lost) => self.write(index, is_answer_lost),
            Step::Read(index) => {
                let mut instances = std::mem::take(&mut self.instances);
                self.learn_accounts(&mut instances[index].holder);
                self.instances = instances;
                self.read(index);
            }
            Step::List(is_listed) => {
                self.catalogue_version += 1;
                self.is_listed = is_listed;
            }
            Step::Restart(index, is_power_loss) => self.restart(index, is_power_loss),
            Step::Time(ms) => self.now += Duration::from_millis(ms),
        }
        self.start_calls();
    }

    fn send(&mut self, from: usize, to: SocketAddr, body: Body) {
        let to = (0..INSTANCES).find(|index| address(*index) == to).unwrap();
        let incarnation = self.instances[from].incarnation;
        self.in_flight.push(Message {
            from,
            incarnation,
            to,
            body,
        });
    }

    fn borrow(&mut self, from: usize, to: usize, tokens: u64) {
        if from == to {
            return;
        }
        let lender = Candidate::new(&name(to), address(to), "north");
        let instance = &mut self.instances[from];
        let request = instance.borrower.request_loan(&lender, ACCOUNT, tokens, 0);
        let message = Message {
            from,
            incarnation: instance.incarnation,
            to,
            body: Body::Request(request),
        };
        instance.requests.push_back((message.clone(), tokens));
        self.in_flight.push(message);
    }

    /// Starts the calls whose tokens were lent, and ends the requests that got none.
    fn start_calls(&mut self) {
        let now = self.now;
        for instance in &mut self.instances {
            let requests = std::mem::take(&mut instance.requests);
            for (message, tokens) in requests {
                let number = number_of(&message);
                match instance.borrower.outcome(number) {
                    Some(LoanOutcome::Lent) => {
                        instance.calls.push_back((Source::Loan(number), tokens));
                    }
                    None | Some(LoanOutcome::Waiting) => {
                        instance.requests.push_back((message, tokens));
                    }
                    Some(_) => instance.borrower.end(now, number, 0),
                }
            }
        }
    }

    fn finish(&mut self, index: usize, part: u64) {
        let now = self.now;
        let instance = &mut self.instances[index];
        let Some((source, tokens)) = instance.calls.pop_front() else {
            return;
        };
        let used = tokens * part / 100;
        self.spent_tokens += used;
        match source {
            Source::Own => instance.holder.release(ACCOUNT, tokens, used),
            Source::Loan(number) => instance.borrower.end(now, number, used),
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        let Message {
            from,
            incarnation,
            to,
            body,
        } = message;
        let Instance {
            holder,
            lender,
            borrower,
            ..
        } = &mut self.instances[to];
        match body {
            Body::Request(request) => {
                let id = LoanId::new(&name(from), incarnation, request.number);
                let answer = lender.handle_request(holder, now, id, address(from), &request);
                if let Some(answer) = answer {
                    self.send(to, address(from), Body::Answer(answer));
                }
            }
            Body::Answer(answer) => {
                borrower.receive_answer(&name(from), &answer);
            }
            Body::Ends(ends) => {
                let numbers = ends.ends.iter().map(|end| end.number).collect();
                for end in ends.ends {
                    let id = LoanId::new(&name(from), incarnation, end.number);
                    lender.end(holder, now, id, end.used_tokens);
                }
                let ack = Body::EndsTaken(LoanEndsAck {
                    numbers,
                    incarnation,
                });
                self.send(to, address(from), ack);
            }
            Body::EndsTaken(ack) => borrower.receive_ends_ack(address(from), &ack),
        }
    }

    fn read(&mut self, index: usize) {
        let ledger = self.ledger.clone();
        let holder = &mut self.instances[index].holder;
        holder.observe(self.now, self.version, ledger);
    }

    fn write(&mut self, index: usize, is_answer_lost: bool) {
        if self.instances[index].holder.needs_read(self.now) {
            self.read(index);
        }
        let stamp = self.stamp(index);
        let holder = &mut self.instances[index].holder;
        holder.note_demand(self.now, OTHER, 100, 0);
        let Some(round) = holder.next_round(self.now, &stamp) else {
            return;
        };
        let Round {
            expected_version,
            number,
            ..
        } = round;
        if expected_version != self.version {
            holder.note_not_written(number);
            self.read(index);
            return;
        }
        self.version += 1;
        self.ledger = round.ledger.clone();
        if is_answer_lost {
            holder.note_in_doubt();
        } else {
            holder.note_written(self.now, self.version, round);
        }
    }

    fn restart(&mut self, index: usize, is_power_loss: bool) {
        if is_power_loss {
            let offset = &mut self.boot_offsets_ms[index];
            *offset = offset.wrapping_mul(31).wrapping_add(7_919) % 1_000_000;
        }
        // All calls in progress are spent in full, since no process counted their use.
        let calls = std::mem::take(&mut self.instances[index].calls);
        self.spent_tokens += calls.iter().map(|(_, tokens)| tokens).sum::<u64>();
        self.instances[index] = self.new_instance(index);
    }

    fn stamp(&self, index: usize) -> Stamp {
        let now_ms = u64::try_from(self.now.as_millis()).unwrap() + 1_000_000;
        Stamp {
            boot_name: String::new(),
            boot_ms: now_ms + self.boot_offsets_ms[index],
            unix_ms: now_ms,
            fleet_early_ms: Some(now_ms),
            fleet_late_ms: Some(now_ms),
        }
    }

    fn check(&self) {
        let calls = self.instances.iter().flat_map(|one| &one.calls);
        let running: u64 = calls.map(|(_, tokens)| tokens).sum();
        let ran = self.spent_tokens + running;
        let committed = self.ledger.settled(ACCOUNT) + self.ledger.granted(ACCOUNT);
        assert!(committed <= PREPAID_TOKENS, "{committed} committed");
        assert!(ran <= committed, "{ran} ran, {committed} committed");
    }
}

fn number_of(message: &Message) -> LoanNumber {
    match &message.body {
        Body::Request(request) => request.number,
        other => panic!("not a request: {other:?}"),
    }
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        8 => (instance.clone(), 0..INSTANCES, 1..900_u64)
            .prop_map(|(from, to, tokens)| Step::Borrow(from, to, tokens)),
        2 => (instance.clone(), 1..900_u64)
            .prop_map(|(index, tokens)| Step::Reserve(index, tokens)),
        6 => (instance.clone(), 0..=100_u64).prop_map(|(index, part)| Step::Finish(index, part)),
        2 => instance.clone().prop_map(Step::GiveUp),
        2 => instance.clone().prop_map(Step::RepeatRequest),
        16 => (0..64_usize, prop::bool::weighted(0.2))
            .prop_map(|(index, is_duplicated)| Step::Deliver(index, is_duplicated)),
        1 => (0..64_usize).prop_map(Step::Lose),
        4 => instance.clone().prop_map(Step::SendEnds),
        2 => instance.clone().prop_map(Step::RetryWaiting),
        6 => (instance.clone(), prop::bool::weighted(0.2))
            .prop_map(|(index, is_answer_lost)| Step::Write(index, is_answer_lost)),
        2 => instance.clone().prop_map(Step::Read),
        1 => (instance, any::<bool>())
            .prop_map(|(index, is_power_loss)| Step::Restart(index, is_power_loss)),
        1 => prop_oneof![0..9_000_u64, 55_000..70_000_u64].prop_map(Step::Time),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), STEPS)
}

/// Generates steps among which the account leaves the catalogue and comes back.
fn steps_with_absences() -> impl Strategy<Value = Vec<Step>> {
    let absence = prop_oneof![
        1 => prop::bool::weighted(0.6).prop_map(Step::List),
        3 => (0..INSTANCES).prop_map(Step::Read),
    ];
    prop::collection::vec(prop_oneof![4 => step(), 1 => absence], STEPS)
}

fn config(seed: u64) -> Config {
    let asked = std::env::var(CASES_VARIABLE).ok();
    Config {
        cases: asked.map_or(CASES, |cases| cases.parse().unwrap()),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn spend_never_exceeds_what_was_bought() {
    proptest!(config(11), |(steps in steps())| {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.take(step);
            simulation.check();
        }
    });
}

#[test]
fn spend_never_exceeds_what_was_bought_if_the_account_comes_and_goes() {
    // Guards against loans that are forgotten while the catalogue lacks their account.
    proptest!(config(23), |(steps in steps_with_absences())| {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.take(step);
            simulation.check();
        }
    });
}
