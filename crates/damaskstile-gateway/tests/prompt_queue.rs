//! Queue of bulk prompts: order, bounds, rejections, and places that become free.

mod support;

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::prompt_decision::PromptDecision;
use damaskstile_gateway::prompt_place::PromptPlace;
use damaskstile_gateway::prompt_queue::{PromptQueue, PromptTicket};
use damaskstile_gateway::queued_prompt::QueuedPrompt;
use damaskstile_gateway::running::Running;
use damaskstile_targets::Work;
use support::{SERVICE, UnreachableStore, choose, gateway, listed, unused_address};

const LINK_BYTES_PER_S: u64 = 1_250_000;
const START: PromptDecision = PromptDecision::Start;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn prompt(rank: u8, due_ms: u64) -> QueuedPrompt {
    QueuedPrompt {
        rank,
        due_at: at(due_ms),
        expires_at: at(due_ms),
        prefill: at(90),
        bytes: 9_000,
    }
}

/// Makes a queue with two places, both of which are held, for 100 ms each as a rule.
fn busy_queue() -> (PromptQueue, [PromptTicket; 2]) {
    let mut queue = PromptQueue::new(LINK_BYTES_PER_S);
    queue.set_limit(Some(2));
    let earlier = queue.add(prompt(2, 1_500));
    queue.decide(at(0));
    queue.remove(at(100), earlier, true);
    let held = [0, 1].map(|_| queue.add(prompt(2, 9_000)));
    assert_eq!(queue.decide(at(100)).len(), 2);
    (queue, held)
}

fn rejected(decisions: &[(PromptTicket, PromptDecision)]) -> Vec<(PromptTicket, Duration)> {
    let rejected = decisions
        .iter()
        .filter_map(|(ticket, decision)| match decision {
            PromptDecision::Start => None,
            PromptDecision::Reject { retry_after } => Some((*ticket, *retry_after)),
        });
    rejected.collect()
}

#[test]
fn prompts_start_by_rank_and_then_by_the_time_left() {
    // Guards against an urgent or nearly late prompt that waits behind those that came earlier.

    // Arrange
    let (mut queue, held) = busy_queue();
    let [relaxed, pressed, urgent] =
        [(2, 2_000), (2, 1_200), (1, 3_000)].map(|(rank, due_ms)| queue.add(prompt(rank, due_ms)));
    assert_eq!(queue.decide(at(110)), []);

    // Act
    queue.remove(at(120), held[0], true);
    let first = queue.decide(at(120));
    queue.remove(at(130), held[1], true);
    let second = queue.decide(at(130));
    queue.remove(at(140), urgent, true);
    let third = queue.decide(at(140));

    // Assert
    assert_eq!(first, [(urgent, START)]);
    assert_eq!(second, [(pressed, START)]);
    assert_eq!(third, [(relaxed, START)]);
}

#[test]
fn a_prompt_whose_turn_would_come_too_late_is_rejected_at_once() {
    // Guards against calls that wait for most of their time and are rejected then.

    // Arrange: two places, held for 100 ms each, so 50 ms for each prompt ahead.
    let (mut queue, _) = busy_queue();
    for _ in 0..10 {
        queue.add(prompt(2, 5_000));
    }
    assert_eq!(queue.decide(at(110)), []);

    // Act: eleven places become free within 550 ms, or a quarter more, and its prefill takes 90 ms.
    let other = queue.add(prompt(2, 5_500));
    let in_time = queue.decide(at(110));
    queue.remove(at(110), other, false);
    let late = queue.add(QueuedPrompt {
        due_at: at(110 + 687 + 90),
        expires_at: at(110 + 687 + 90),
        ..prompt(3, 0)
    });
    let decisions = queue.decide(at(110));

    // Assert
    assert_eq!(in_time, []);
    assert_eq!(rejected(&decisions), [(late, at(550))]);
}

#[test]
fn a_prompt_that_need_not_wait_starts_although_it_will_be_late() {
    // Guards against a prompt whose prefill takes longer than its objective and that is rejected by
    // every idle instance.

    // Arrange: 30 ms to the objective, and a prefill of 90 ms.
    let late = || prompt(2, 130);
    let mut unlimited = PromptQueue::new(LINK_BYTES_PER_S);
    let mut free = unlimited.clone();
    free.set_limit(Some(2));
    let (mut busy, _) = busy_queue();

    // Act
    let of_unlimited = unlimited.add(late());
    let of_free = free.add(late());
    let of_busy = busy.add(late());

    // Assert: it is rejected only where it would delay others further.
    assert_eq!(unlimited.decide(at(100)), [(of_unlimited, START)]);
    assert_eq!(free.decide(at(100)), [(of_free, START)]);
    let rejections = rejected(&busy.decide(at(100)));
    assert!(rejections.len() == 1 && rejections[0].0 == of_busy);
}

#[test]
fn the_queue_is_bounded_in_prompts_and_in_bytes() {
    // Guards against a queue that grows with a burst, and against bodies that would fill the link
    // for seconds once they are sent.

    // Arrange
    let small = QueuedPrompt {
        bytes: 100,
        ..prompt(2, 900_000)
    };
    let (mut many, _) = busy_queue();
    let (mut large, _) = busy_queue();

    // Act
    let of_many: usize = (0..300)
        .map(|_| {
            many.add(small);
            rejected(&many.decide(at(110))).len()
        })
        .sum();
    let of_large: usize = (0..300)
        .map(|_| {
            large.add(prompt(2, 900_000));
            rejected(&large.decide(at(110))).len()
        })
        .sum();
    let urgent = many.add(prompt(1, 900_000));
    let displaced = rejected(&many.decide(at(110)));

    // Assert: 256 prompts, and 138 of 9,000 bytes; an urgent one displaces the last of the others.
    assert_eq!((many.waiting(), of_many), (256, 44));
    assert_eq!((large.waiting(), of_large), (138, 162));
    assert!(displaced.len() == 1 && displaced[0].0 != urgent);
}

#[test]
fn a_higher_limit_starts_the_prompts_that_wait() {
    // Guards against prompts that wait although more targets were set apart, or none is any longer.

    // Arrange
    let (mut queue, _) = busy_queue();
    let tickets = [0, 1, 2].map(|_| queue.add(prompt(2, 1_500)));

    // Act
    queue.set_limit(Some(3));
    let more = queue.decide(at(120));
    queue.set_limit(None);
    let all = queue.decide(at(130));

    // Assert
    assert_eq!(more, [(tickets[0], START)]);
    assert_eq!(all, [(tickets[1], START), (tickets[2], START)]);
}

/// Makes an instance with two targets, one of which takes bulk prompts, two at a time.
fn bulk_gateway() -> Arc<Gateway> {
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
    let now = gateway.now();
    {
        let table = &mut gateway.state().target_table;
        for name in ["a", "b"] {
            table.list(now, listed(name, unused_address()));
        }
        table.note_bulk(now, SERVICE, at(5_000));
        table.update_bulk_targets(now);
        assert_eq!(table.bulk_limit(SERVICE), Some(2));
    }
    gateway
}

#[tokio::test]
async fn a_caller_that_leaves_frees_its_place() {
    // Guards against places that stay taken after callers left, until no bulk prompt is sent.

    // Arrange: one of two targets takes bulk prompts, two at a time, and three callers wait for a place.
    let gateway = bulk_gateway();
    let now = gateway.now();
    let request = || {
        let prompt = QueuedPrompt {
            due_at: now + at(60_000),
            expires_at: now + at(60_000),
            ..prompt(2, 0)
        };
        PromptPlace::request(&gateway, SERVICE, prompt)
    };
    let held = [request(), request()];
    let [one, two, mut three] = [request(), request(), request()];
    assert_eq!(gateway.state().prompt_queues.waiting(), 3);

    // Act: one that waits leaves, then one that holds a place.
    drop(one);
    let after_one = gateway.state().prompt_queues.waiting();
    drop(held);
    let decision = three.1.try_recv();

    // Assert
    assert_eq!(after_one, 2);
    assert_eq!(two.1.await, Ok(START));
    assert_eq!(decision, Ok(START));
    assert_eq!(gateway.state().prompt_queues.waiting(), 0);
}

#[tokio::test]
async fn the_wait_for_a_place_follows_the_time_of_whole_answers_of_plain_calls() {
    // Guards against plain bulk prompts that hold their places for whole answers while the queue
    // expects the time of a prefill, so that others wait for most of their time and are rejected.

    // Arrange: one plain call that holds a place for 200 ms; then both places are held.
    let gateway = bulk_gateway();
    let request = |due_in| {
        let due_at = gateway.now() + due_in;
        PromptPlace::request(
            &gateway,
            SERVICE,
            QueuedPrompt {
                due_at,
                ..prompt(2, 0)
            },
        )
    };
    let mut running = Running::new(&gateway, choose(&gateway, &[]).unwrap(), &Work::default());
    running.hold(Some(request(at(60_000)).0));
    tokio::time::sleep(at(200)).await;
    running.answered();
    let _held = [request(at(60_000)), request(at(60_000))];

    // Act
    let (_place, mut decision) = request(at(100));

    // Assert: a place becomes free each 100 ms, not each 45 ms.
    let Ok(PromptDecision::Reject { retry_after }) = decision.try_recv() else {
        panic!("no rejection");
    };
    assert!(retry_after >= at(100), "{retry_after:?}");
}
