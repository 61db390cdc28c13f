//! Accounts that a version of the catalogue lacks and a later one has again.

mod support;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{EscrowOptions, Holder, Ledger, Role, Round, Shortage};
use support::{at, stamp};

const ACCOUNT: &str = "a";
/// Account that all versions have, whose calls give every round something to write.
const OTHER: &str = "b";
const PREPAID_TOKENS: u64 = 10_000;
/// Worst-case cost of a call.
const CALL_TOKENS: u64 = 400;
/// What that call uses.
const USED_TOKENS: u64 = 340;

/// Catalogue versions: with the account, without it, and with it again.
const LISTED: Version = 1;
const MISSING: Version = 2;
const LISTED_AGAIN: Version = 3;

/// Shows a holder a version of the catalogue.
fn learn(holder: &mut Holder, version: Version) {
    let accounts = [ACCOUNT, OTHER].into_iter();
    let accounts = accounts.filter(|account| version != MISSING || *account == OTHER);
    let accounts = accounts.map(|account| (account.to_owned(), PREPAID_TOKENS));
    holder.set_prepaid(version, accounts.collect());
}

fn holder(instance: &str, incarnation: u64, small_fleet: u32) -> Holder {
    let options = EscrowOptions {
        small_fleet,
        ..EscrowOptions::default()
    };
    let identity = Identity::new(instance, incarnation, "north");
    let mut holder = Holder::new(identity, instance, options);
    learn(&mut holder, LISTED);
    holder
}

/// A writer, in a large fleet with a member, and the version of the ledger that it wrote.
struct Fleet {
    writer: Holder,
    member: Option<Holder>,
    version: Version,
    ledger: Ledger,
}

impl Fleet {
    /// Returns a fleet of one instance that writes for itself.
    fn small() -> Self {
        Self::start(holder("writer", 1, 16), None)
    }

    /// Returns a fleet in which the writer writes for a member.
    fn large() -> Self {
        let mut member = holder("member", 1, 0);
        member.set_role(Role::Member);
        Self::start(holder("writer", 1, 0), Some(member))
    }

    fn start(mut writer: Holder, mut member: Option<Holder>) -> Self {
        for one in member.iter_mut().chain([&mut writer]) {
            one.observe(at(0), 0, Ledger::default());
            one.note_demand(at(0), ACCOUNT, CALL_TOKENS, 0);
        }
        let mut fleet = Self {
            writer,
            member,
            version: 0,
            ledger: Ledger::default(),
        };
        fleet.round(0);
        fleet.round(1_500);
        fleet
    }

    /// The instance whose calls are looked at.
    fn instance(&mut self) -> &mut Holder {
        self.member.as_mut().unwrap_or(&mut self.writer)
    }

    fn learn(&mut self, version: Version) {
        learn(&mut self.writer, version);
        self.member.iter_mut().for_each(|one| learn(one, version));
    }

    /// Finishes a call of the other account at each instance, lets the member report and the writer
    /// write.
    fn round(&mut self, ms: u64) {
        for one in self.member.iter_mut().chain([&mut self.writer]) {
            one.note_demand(at(ms), OTHER, CALL_TOKENS, 0);
            if one.try_reserve(at(ms), OTHER, CALL_TOKENS, 0).is_ok() {
                one.release(OTHER, CALL_TOKENS, USED_TOKENS);
            }
        }
        if let Some(member) = &mut self.member
            && let Some(report) = member.next_report(at(ms), &stamp(ms))
        {
            assert!(self.writer.accept_report(at(ms), report).is_none());
        }
        let Some(round) = self.writer.next_round(at(ms), &stamp(ms)) else {
            return;
        };
        self.written(ms, round);
    }

    fn written(&mut self, ms: u64, round: Round) {
        self.version += 1;
        self.ledger = round.ledger.clone();
        let reported = round.reported.clone();
        self.writer.note_written(at(ms), self.version, round);
        for (_, receipt) in self.writer.receipts(&reported) {
            let member = self.member.as_mut().unwrap();
            member.accept_receipt(at(ms), &receipt);
        }
    }

    /// Starts a call of the account. It waits for a round if no tokens are held.
    fn start_call(&mut self, ms: u64) {
        let instance = self.instance();
        instance.note_demand(at(ms), ACCOUNT, CALL_TOKENS, 0);
        if instance
            .try_reserve(at(ms), ACCOUNT, CALL_TOKENS, 0)
            .is_err()
        {
            self.round(ms + 500);
            let reserved = self
                .instance()
                .try_reserve(at(ms + 500), ACCOUNT, CALL_TOKENS, 0);
            assert_eq!(reserved, Ok(()));
        }
    }

    fn finish_call(&mut self) {
        self.instance().release(ACCOUNT, CALL_TOKENS, USED_TOKENS);
    }
}

#[test]
fn what_a_call_uses_while_its_account_is_missing_counts_as_spent() {
    // Guards against a budget that is spent twice: a call outlasts its account's place in the
    // catalogue, the instance ends, and the account comes back with what the call used unaccounted
    // for.
    for mut fleet in [Fleet::small(), Fleet::large()] {
        // Arrange
        fleet.start_call(2_000);
        fleet.learn(MISSING);
        fleet.round(4_000);
        let granted = fleet.ledger.granted(ACCOUNT);

        // Act
        fleet.finish_call();
        fleet.round(6_000);

        // Assert
        assert!(granted >= CALL_TOKENS, "{granted}");
        assert_eq!(fleet.ledger.settled(ACCOUNT), USED_TOKENS);
        assert_eq!(fleet.ledger.granted(ACCOUNT), 0);
    }
}

#[test]
fn a_call_of_a_missing_account_counts_as_spent_if_its_instance_ends() {
    // Guards against a budget that is spent twice: the process is killed while a call of an account
    // that the catalogue lacks is in progress.
    for mut fleet in [Fleet::small(), Fleet::large()] {
        // Arrange
        fleet.start_call(2_000);
        fleet.learn(MISSING);
        fleet.round(4_000);

        // Act
        let name = fleet.member.as_ref().map_or("writer", |_| "member");
        let mut successor = holder(name, 2, 16);
        successor.observe(at(5_000), fleet.version, fleet.ledger.clone());
        learn(&mut successor, LISTED_AGAIN);
        let round = successor.next_round(at(5_000), &stamp(5_000)).unwrap();

        // Assert
        let ledger = round.ledger;
        let left = PREPAID_TOKENS - ledger.settled(ACCOUNT) - ledger.granted(ACCOUNT);
        assert!(ledger.settled(ACCOUNT) >= CALL_TOKENS, "{ledger:?}");
        assert!(left <= PREPAID_TOKENS - CALL_TOKENS);
    }
}

#[test]
fn what_counts_as_spent_is_not_counted_again_when_an_account_comes_back() {
    // Guards against refusals of an account that has tokens left: the ledger forgets what an
    // instance has settled of a missing account, and the instance settles it a second time.
    for mut fleet in [Fleet::small(), Fleet::large()] {
        // Arrange
        fleet.start_call(2_000);
        fleet.finish_call();
        fleet.round(4_000);
        let before = fleet.ledger.settled(ACCOUNT);

        // Act
        fleet.learn(MISSING);
        fleet.round(6_000);
        fleet.learn(LISTED_AGAIN);
        fleet.start_call(8_000);
        fleet.round(10_000);

        // Assert
        assert_eq!(before, USED_TOKENS);
        assert_eq!(fleet.ledger.settled(ACCOUNT), USED_TOKENS);
    }
}

#[test]
fn a_call_in_progress_keeps_its_tokens_while_a_write_is_unanswered() {
    // Guards against a grant that is given up under a call: the limits of a write without an answer
    // leave out the accounts that the catalogue lacks, and the next write keeps only what they allow.

    // Arrange
    let mut fleet = Fleet::small();
    fleet.start_call(2_000);
    fleet.learn(MISSING);
    let lost = fleet.writer.next_round(at(4_000), &stamp(4_000)).unwrap();
    fleet.writer.note_in_doubt();

    // Act: the write has not taken effect, and may yet.
    fleet
        .writer
        .observe(at(5_200), fleet.version, fleet.ledger.clone());
    let next = fleet.writer.next_round(at(6_000), &stamp(6_000)).unwrap();

    // Assert
    assert!(lost.ledger.granted(ACCOUNT) >= CALL_TOKENS);
    assert!(next.ledger.granted(ACCOUNT) >= CALL_TOKENS);
}

#[test]
fn an_instance_that_stops_settles_calls_of_missing_accounts() {
    // Guards against a planned stop that takes the only record of a call's use along.
    for mut fleet in [Fleet::small(), Fleet::large()] {
        // Arrange
        fleet.start_call(2_000);
        fleet.learn(MISSING);
        fleet.round(4_000);

        // Act
        fleet.instance().stop();
        fleet.round(4_100);
        let during_call = fleet.instance().is_handed_back();
        fleet.finish_call();
        fleet.round(4_200);

        // Assert
        assert!(during_call);
        assert_eq!(fleet.ledger.settled(ACCOUNT), USED_TOKENS);
        assert!(fleet.instance().is_handed_back());
    }
}

#[test]
fn a_fleet_without_memory_counts_possible_grants_of_missing_accounts_as_spent() {
    // Guards against grants that a stale copy of the ledger lacks: no instance remembers them, and
    // the catalogue lacks their account while the ledger is rebuilt.

    // Arrange
    let mut fleet = Fleet::small();
    for ms in (2_000..5_000).step_by(1_000) {
        fleet.start_call(ms);
        fleet.round(ms + 900);
    }
    let demand = fleet.ledger.holders["writer"].demand_tokens_per_s[ACCOUNT];
    let settled = fleet.ledger.settled(ACCOUNT) + fleet.ledger.granted(ACCOUNT);

    // Act
    let mut successor = holder("writer", 7, 16);
    learn(&mut successor, MISSING);
    successor.set_store_history(2);
    successor.observe(at(9_000), fleet.version, fleet.ledger.clone());
    let round = successor.next_round(at(13_000), &stamp(13_000)).unwrap();

    // Assert
    let lost = (demand * 10).min(PREPAID_TOKENS - settled);
    assert!(lost > 0);
    assert!(round.ledger.settled(ACCOUNT) >= settled + lost);
}

#[test]
fn nothing_is_granted_of_a_missing_account() {
    // Guards against a bound of zero that is no bound: an account that no catalogue states a budget
    // for has none to grant.

    // Arrange
    let mut fleet = Fleet::small();
    fleet.learn(MISSING);
    fleet.round(4_000);

    // Act
    fleet.writer.note_demand(at(4_100), ACCOUNT, CALL_TOKENS, 0);
    let _ = fleet.writer.try_reserve(at(4_100), ACCOUNT, 1, 0);
    fleet.round(6_000);

    // Assert
    assert_eq!(fleet.ledger.granted(ACCOUNT), 0);
}

#[test]
fn a_call_of_a_missing_account_is_bound_by_what_is_held() {
    // Guards against calls without a bound: a call whose key a former version of the catalogue
    // accepted reserves its tokens after the next version lacks the account.

    // Arrange
    let mut fleet = Fleet::small();
    let held = fleet.writer.free_tokens(at(2_000), ACCOUNT);
    fleet.learn(MISSING);

    // Act
    let within = fleet.writer.try_reserve(at(2_000), ACCOUNT, held, 0);
    let beyond = fleet.writer.try_reserve(at(2_000), ACCOUNT, 1, 0);

    // Assert
    assert!(held > 0);
    assert_eq!(within, Ok(()));
    assert_eq!(beyond, Err(Shortage::Exhausted));
}
