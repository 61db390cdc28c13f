//! Several holders and one store whose answers get lost: spend never exceeds what was bought.

mod support;

use proptest::prelude::*;
use support::world::{Fate, INSTANCES, Simulation, Step, absence, config};

/// Steps of one proptest case.
const STEPS: usize = 120;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), STEPS)
}

/// Generates steps among which accounts leave the catalogue and come back.
fn steps_with_absences() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(prop_oneof![2 => step(), 1 => absence()], STEPS)
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Held),
        1 => Just(Fate::Refused),
    ];
    prop_oneof![
        6 => (0..INSTANCES, 0..2_usize, 1..1_500_u64)
            .prop_map(|(index, account, tokens)| Step::Reserve(index, account, tokens)),
        4 => (0..INSTANCES, 0..=100_u64).prop_map(|(index, part)| Step::Finish(index, part)),
        6 => (0..INSTANCES, fate.clone())
            .prop_map(|(index, fate)| Step::Write(index, fate)),
        5 => (0..INSTANCES, 0..INSTANCES, fate)
            .prop_map(|(from, to, fate)| Step::Report(from, to, fate)),
        2 => (0..16_usize).prop_map(Step::DeliverMessage),
        1 => (0..INSTANCES).prop_map(Step::Read),
        1 => (0..8_usize).prop_map(Step::DeliverWrite),
        2 => (0..INSTANCES, any::<bool>())
            .prop_map(|(index, is_power_loss)| Step::Restart(index, is_power_loss)),
        1 => (0..9_000_u64).prop_map(Step::Isolation),
        2 => (0..INSTANCES, 0..INSTANCES, 0..2_usize, 1..900_u64, any::<bool>()).prop_map(
            |(from, to, account, tokens, is_lost)| {
                Step::Transfer(from, to, account, tokens, is_lost)
            }
        ),
        1 => (0..INSTANCES, any::<bool>())
            .prop_map(|(index, is_lost)| Step::FleetClockLoss(index, is_lost)),
        1 => (0..2_usize, 1..3_000_u64).prop_map(|(account, tokens)| Step::TopUp(account, tokens)),
    ]
}

#[test]
fn spend_never_exceeds_what_was_bought() {
    proptest!(config(7), |(steps in steps())| {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.take(step);
            simulation.check();
        }
    });
}

#[test]
fn spend_never_exceeds_what_was_bought_if_accounts_come_and_go() {
    // Guards against a budget that is spent again after a version of the catalogue lacked its
    // account, while instances restart and some know another version.
    proptest!(config(17), |(steps in steps_with_absences())| {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.take(step);
            simulation.check();
        }
    });
}
