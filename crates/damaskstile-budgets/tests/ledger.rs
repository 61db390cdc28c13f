//! Tests of ledgers: the invariant holds at every version, with several writers and repeated
//! batches.

use std::time::Duration;

use damaskstile_budgets::{Entry, GrantPolicy, Ledger, LedgerOp, PolicyKind};
use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NOW: Duration = Duration::from_hours(500_000);

fn identity(name: &str) -> Identity {
    Identity::new(name, 7, "dc")
}

fn policy() -> &'static dyn GrantPolicy {
    PolicyKind::Transfers.policy()
}

fn apply(ledger: &mut Ledger, writer: &str, batch: u64, ops: &[LedgerOp]) -> Vec<RunId> {
    ledger.apply(&identity(writer), batch, ops, policy(), 3, NOW)
}

fn grant(id: &str, tokens: u64, witnesses: &[&str]) -> LedgerOp {
    LedgerOp::Grant {
        grant: id.to_owned(),
        need_tokens: tokens,
        want_tokens: tokens,
        part_percent: 100,
        witnesses: witnesses
            .iter()
            .map(|name| ((*name).to_owned(), 7))
            .collect(),
    }
}

fn spend(run: &str, key: &str, grant: &str, reserved_tokens: u64, output_tokens: u64) -> LedgerOp {
    LedgerOp::Spend {
        entry: Entry {
            run: run.to_owned(),
            key: key.to_owned(),
            account: "office".to_owned(),
            target: "t".to_owned(),
            prompt_tokens: 0,
            output_tokens,
            is_billed: true,
            biller: "one".to_owned(),
            at_unix_ms: 0,
        },
        draws: vec![Draw {
            grant: grant.to_owned(),
            tokens: reserved_tokens,
        }],
    }
}

fn seal(kept: &[(&str, &str, u64)]) -> LedgerOp {
    let mut by_grant: BTreeMap<GrantId, BTreeMap<RunId, u64>> = BTreeMap::new();
    for (grant, run, tokens) in kept {
        by_grant
            .entry((*grant).to_owned())
            .or_default()
            .insert((*run).to_owned(), *tokens);
    }
    LedgerOp::Seal {
        holder: "one".to_owned(),
        incarnation: 7,
        kept: by_grant,
    }
}

fn ledger(tokens: u64) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.top_up("first", tokens);
    ledger
}

#[test]
fn a_repeated_batch_is_applied_once() {
    // Guards against a duplicate bill after a lost answer of the store: the write takes effect, the
    // answer is lost, and the same batch is written again.
    let mut ledger = ledger(100);
    let ops = [grant("g", 50, &[]), spend("run-1", "k", "g", 20, 10)];

    for _ in 0..3 {
        apply(&mut ledger, "one", 1, &ops);
    }

    assert_eq!(ledger.bills, 1);
    assert_eq!(ledger.settled_tokens, 10);
}

#[test]
fn a_repeated_top_up_counts_once() {
    let mut ledger = ledger(100);

    assert!(ledger.top_up("payment-1", 50));
    assert!(!ledger.top_up("payment-1", 50));

    assert_eq!(ledger.topped_up_tokens, 150);
}

#[test]
fn a_second_run_of_a_request_costs_tokens_and_is_not_billed() {
    let mut ledger = ledger(100);

    apply(
        &mut ledger,
        "one",
        1,
        &[
            grant("g", 50, &[]),
            spend("run-1", "k", "g", 20, 10),
            spend("run-2", "k", "g", 20, 15),
        ],
    );

    assert_eq!(ledger.bills, 1);
    assert_eq!(ledger.billed_tokens, 10);
    assert_eq!(ledger.settled_tokens, 25);
}

#[test]
fn a_grant_is_released_only_when_all_its_witnesses_have_sealed() {
    // Guards against spending more than was topped up: the seal of one witness must not release
    // the grant while the holder can still spend with records accepted by another witness.
    let mut ledger = ledger(100);
    apply(&mut ledger, "one", 1, &[grant("g", 70, &["two", "three"])]);

    apply(&mut ledger, "two", 1, &[seal(&[])]);
    assert_eq!(ledger.committed_tokens(), 70);
    apply(&mut ledger, "three", 1, &[seal(&[("g", "run-1", 20)])]);

    assert_eq!(ledger.committed_tokens(), 20);
}

#[test]
fn a_run_on_a_sealed_grant_is_entered_once_by_holder_or_witness() {
    for (first, second) in [("one", "two"), ("two", "one")] {
        let mut ledger = ledger(100);
        apply(&mut ledger, "one", 1, &[grant("g", 60, &["two"])]);
        apply(&mut ledger, "two", 1, &[seal(&[("g", "run-1", 20)])]);

        let by_first = apply(&mut ledger, first, 2, &[spend("run-1", "k", "g", 20, 10)]);
        let by_second = apply(&mut ledger, second, 2, &[spend("run-1", "k", "g", 20, 10)]);

        assert_eq!(by_first, Vec::<RunId>::new());
        assert_eq!(by_second, ["run-1"]);
        assert_eq!(ledger.settled_tokens, 10);
        assert_eq!(ledger.committed_tokens(), 10);
    }
}

#[test]
fn a_transfer_reported_by_two_instances_is_entered_once() {
    let adoption = Adoption {
        transfer: "t".to_owned(),
        from_grant: "g".to_owned(),
        tokens: 30,
        holder: "two".to_owned(),
        incarnation: 7,
    };
    let mut ledger = ledger(100);
    apply(&mut ledger, "one", 1, &[grant("g", 70, &[])]);

    apply(
        &mut ledger,
        "three",
        1,
        &[LedgerOp::Adopt(adoption.clone())],
    );
    apply(&mut ledger, "two", 1, &[LedgerOp::Adopt(adoption)]);

    assert_eq!(ledger.grants["g"].granted_tokens, 40);
    assert_eq!(ledger.grants["t"].granted_tokens, 30);
    assert_eq!(ledger.committed_tokens(), 70);
}

#[test]
fn a_run_is_billed_although_an_unused_grant_of_it_is_closed() {
    // Guards against a request that is answered and not billed. A run reserves on two grants and
    // uses only the first. The second is spent by another run and closed before the entry of the
    // first run arrives. The fault was to refuse that entry because one of its grants was gone.
    let mut ledger = ledger(200);
    apply(
        &mut ledger,
        "one",
        1,
        &[
            grant("a", 70, &[]),
            grant("b", 70, &[]),
            spend("run-2", "k2", "a", 70, 70),
        ],
    );
    assert!(!ledger.grants.contains_key("a"));
    let mut late = spend("run-1", "k1", "b", 20, 5);
    if let LedgerOp::Spend { draws, .. } = &mut late {
        draws.push(Draw {
            grant: "a".to_owned(),
            tokens: 10,
        });
    }

    let refused = apply(&mut ledger, "one", 2, &[late]);

    assert_eq!(refused, Vec::<RunId>::new());
    assert_eq!(ledger.bills, 2);
}

#[test]
fn a_stored_value_that_is_invalid_or_overdrawn_is_refused() {
    for value in [
        "",
        "[]",
        "{\"topped_up_tokens\": -1}",
        "{\"unknown\": 1}",
        "{\"topped_up_tokens\": 1, \"closed_tokens\": 2}",
    ] {
        assert!(Ledger::try_from_json(value).is_err(), "{value}");
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn parsing_any_text_does_not_panic(text in ".{0,200}") {
        let _ = Ledger::try_from_json(&text);
    }

    #[test]
    fn the_invariants_hold_after_any_changes(
        changes in prop::collection::vec((0..6_u8, 0..3_usize, 0..4_u64, 0..80_u64), 1..40),
    ) {
        let mut ledger = ledger(200);
        for (batch, (kind, writer, number, tokens)) in changes.into_iter().enumerate() {
            let writer = ["one", "two", "three"][writer];
            let (id, run) = (format!("g-{number}"), format!("run-{number}"));
            let op = match kind {
                0 | 1 => grant(&id, tokens, if number % 2 == 0 { &["two"] } else { &[] }),
                2 => spend(&run, &run, &id, tokens, tokens / 2),
                3 => LedgerOp::Return { grant: id, tokens },
                4 => seal(&[(&id, &run, tokens)]),
                _ => LedgerOp::Adopt(Adoption {
                    transfer: format!("t-{number}"),
                    from_grant: id,
                    tokens,
                    holder: writer.to_owned(),
                    incarnation: 7,
                }),
            };
            let batch = u64::try_from(batch).unwrap() + 1;
            apply(&mut ledger, writer, batch, &[op]);
            prop_assert!(ledger.check().is_ok());
        }
    }
}
