//! Tokens charged to a call, for each way it can end.

mod support;

use std::sync::Arc;

use damaskstile_gateway::reservation::Reservation;
use damaskstile_targets::Work;
use support::{UnreachableStore, gateway, unused_address};

const PROMPT_TOKENS: u64 = 6_000;
const OUTPUT_TOKENS: u64 = 400;
const TOKENS_PER_EVENT: u64 = 5;

fn reservation() -> Reservation {
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
    let work = Work {
        prompt_tokens: PROMPT_TOKENS,
        output_tokens: OUTPUT_TOKENS,
        parts: Vec::new(),
        ..Work::default()
    };
    let held_tokens = PROMPT_TOKENS + OUTPUT_TOKENS;
    gateway
        .state()
        .holder
        .accept_transfer("account", held_tokens);
    Reservation::try_new(&gateway, Some("account"), Some(&work), TOKENS_PER_EVENT, 0).unwrap()
}

#[test]
fn a_call_that_never_ran_is_charged_nothing() {
    // Arrange
    let mut reservation = reservation();
    assert_eq!(reservation.used_tokens(), 0);

    // Act
    reservation.sending();
    reservation.not_run();

    // Assert
    assert_eq!(reservation.used_tokens(), 0);
}

#[test]
fn a_caller_that_leaves_before_the_first_event_is_charged_the_prompt() {
    // Guards against accounts running out although the delivered answers used less than was bought.
    // A caller disconnects, or a connection to a target breaks, before the first event. The call
    // used to be charged the maximum it could have generated, which nobody received.

    // Arrange
    let mut reservation = reservation();

    // Act
    reservation.sending();

    // Assert
    assert_eq!(reservation.used_tokens(), PROMPT_TOKENS);
}

#[test]
fn a_failed_call_that_delivered_nothing_is_charged_nothing() {
    // Guards against callers being refused for lack of tokens while their account has not received
    // what it bought: 3 in 100 of it on a day on which targets lose answers. Calls whose targets
    // failed used to be charged their prompts.

    // Arrange
    let mut without_delivery = reservation();
    let mut partly_delivered = reservation();
    without_delivery.sending();
    partly_delivered.sending();
    partly_delivered.delivering();

    // Act
    without_delivery.failed();
    partly_delivered.failed();

    // Assert
    assert_eq!(without_delivery.used_tokens(), 0);
    assert_eq!(
        partly_delivered.used_tokens(),
        PROMPT_TOKENS + TOKENS_PER_EVENT
    );
}

#[test]
fn a_broken_run_is_charged_for_the_delivered_events() {
    // Arrange
    let mut reservation = reservation();
    reservation.sending();

    // Act
    for _ in 0..7 {
        reservation.delivering();
    }

    // Assert
    let output_tokens = 7 * TOKENS_PER_EVENT;
    assert_eq!(reservation.used_tokens(), PROMPT_TOKENS + output_tokens);
}

#[test]
fn a_resumed_call_never_uses_more_than_was_reserved() {
    // Arrange
    let mut reservation = reservation();

    // Act: three runs, of which the second proves that it was not executed.
    reservation.sending();
    (0..50).for_each(|_| reservation.delivering());
    reservation.sending();
    reservation.not_run();
    let between = reservation.used_tokens();
    reservation.sending();
    (0..200).for_each(|_| reservation.delivering());

    // Assert: the output of the first run stays charged, the prompt is charged once.
    assert_eq!(between, PROMPT_TOKENS + 50 * TOKENS_PER_EVENT);
    assert_eq!(reservation.used_tokens(), PROMPT_TOKENS + OUTPUT_TOKENS);
    assert_eq!(reservation.used_tokens(), reservation.reserved_tokens());
}

#[test]
fn an_answer_without_a_token_count_is_charged_the_maximum() {
    // Guards against an account getting more than it bought. A route of a model's service is not a
    // stream, so its answers are passed on whole. They used to be charged as if they had no output.

    // Arrange
    let mut reservation = reservation();
    reservation.sending();

    // Act
    reservation.delivering_complete();

    // Assert
    assert_eq!(reservation.used_tokens(), PROMPT_TOKENS + OUTPUT_TOKENS);
    assert_eq!(
        reservation.charge().used_tokens(),
        reservation.used_tokens()
    );
}
