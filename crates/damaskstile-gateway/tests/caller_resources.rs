//! Decisions on what callers make the process hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use damaskstile_gateway::caller_resources::{
    CallerLimits, CallerResources, ConnectionNumber, Endpoint, ReleaseCause, SocketQueue,
};
use damaskstile_routes::Limits;
use proptest::prelude::*;

const BODY_BYTES: usize = 1024 * 1024;
const HELD_BYTES_MAX: usize = 8 * BODY_BYTES;
const START: Duration = Duration::from_secs(100);

/// Queue of a connection, set by the test.
#[derive(Debug, Default)]
struct FakeQueue {
    unread_bytes: AtomicUsize,
    has_read: AtomicBool,
    has_written: AtomicBool,
    has_progressed: AtomicBool,
    send_buffer_bytes: AtomicUsize,
}

impl SocketQueue for FakeQueue {
    fn unread_bytes(&self) -> usize {
        self.unread_bytes.load(Ordering::Relaxed)
    }

    fn take_has_read(&self) -> bool {
        self.has_read.swap(false, Ordering::Relaxed)
    }

    fn take_has_progressed(&self) -> bool {
        self.has_progressed.swap(false, Ordering::Relaxed)
    }

    fn set_send_buffer(&self, bytes: usize) {
        self.send_buffer_bytes.store(bytes, Ordering::Relaxed);
        self.has_written.store(false, Ordering::Relaxed);
    }

    fn has_written(&self) -> bool {
        self.has_written.load(Ordering::Relaxed)
    }
}

fn limits() -> CallerLimits {
    CallerLimits {
        held_bytes_max: HELD_BYTES_MAX,
        caller_connections_max: 4,
        operator_connections_max: 2,
        ..CallerLimits::default()
    }
}

fn resources() -> CallerResources {
    CallerResources::new(limits())
}

fn roomy() -> CallerResources {
    CallerResources::new(CallerLimits {
        caller_connections_max: 1_000,
        ..limits()
    })
}

fn open(resources: &mut CallerResources, now: Duration) -> ConnectionNumber {
    let opened = resources.open(now, Endpoint::Callers, None);
    opened.unwrap().number
}

/// Begins a call with a body of the given size, all but a byte of which is received.
fn half_call(resources: &mut CallerResources, now: Duration, bytes: usize) -> ConnectionNumber {
    let number = open(resources, now);
    resources.begin_call(now, number, 10, 500).unwrap();
    let received = resources.receive(now, number, &vec![b'x'; bytes - 1], bytes);
    received.unwrap();
    number
}

fn after(seconds: u64) -> Duration {
    START + Duration::from_secs(seconds)
}

#[test]
fn a_small_call_is_received_beside_large_ones_that_do_not_end() {
    // Guards against a lock-out: bodies that never end keep all room, and others are refused.
    let mut resources = roomy();
    let large: Vec<_> = (0..40)
        .filter_map(|second| {
            let now = after(second);
            let number = open(&mut resources, now);
            resources.begin_call(now, number, 10, 500).ok()?;
            let body = vec![b'x'; BODY_BYTES - 1];
            let received = resources.receive(now, number, &body, BODY_BYTES);
            received.ok().map(|()| number)
        })
        .collect();

    let small = half_call(&mut resources, after(41), 2_000);
    let received = resources.receive(after(41), small, b"x", 2_000);

    assert_eq!(received, Ok(()));
    assert_eq!(resources.take_body(after(41), small).len(), 2_000);
    assert!(large.iter().any(|number| resources.is_denied(*number)));
    assert!(resources.held_bytes() <= HELD_BYTES_MAX);
}

#[test]
fn the_body_that_held_most_for_longest_gives_way() {
    let mut resources = roomy();
    let old = half_call(&mut resources, START, BODY_BYTES);
    let small = half_call(&mut resources, START, BODY_BYTES / 100);
    let recent: Vec<_> = (0..5)
        .map(|_| half_call(&mut resources, after(5), BODY_BYTES))
        .collect();

    half_call(&mut resources, after(6), BODY_BYTES);

    assert!(resources.is_denied(old));
    assert!(!resources.is_denied(small));
    assert!(recent.iter().all(|number| !resources.is_denied(*number)));
}

#[test]
fn a_call_that_may_run_does_not_give_way() {
    // Guards against a refusal as not run of a call that a target may be running.
    let mut resources = roomy();
    let running: Vec<_> = (0..5)
        .map(|_| {
            let number = half_call(&mut resources, START, BODY_BYTES);
            resources.take_body(START, number);
            number
        })
        .collect();

    for second in 1..20 {
        let now = after(second);
        let number = open(&mut resources, now);
        if resources.begin_call(now, number, 10, 500).is_ok() {
            let _ = resources.receive(now, number, &vec![b'x'; BODY_BYTES], BODY_BYTES);
        }
    }

    for number in running {
        assert!(!resources.is_denied(number));
        assert_eq!(resources.closed_by(number), None);
    }
    assert!(resources.held_bytes() <= HELD_BYTES_MAX);
}

#[test]
fn an_answer_finds_room_before_bodies_that_are_still_received() {
    let mut resources = roomy();
    let running = half_call(&mut resources, START, BODY_BYTES);
    resources.take_body(START, running);
    let receiving: Vec<_> = (0..4)
        .map(|_| half_call(&mut resources, START, BODY_BYTES))
        .collect();

    let has_room = resources.hold_answer(after(1), running, 5 * BODY_BYTES);

    assert!(has_room);
    assert!(receiving.iter().any(|number| resources.is_denied(*number)));
}

#[test]
fn an_answer_that_is_not_read_gives_way() {
    // Guards against a lock-out by callers that never read their answers.
    let mut resources = roomy();
    let unread = half_call(&mut resources, START, 100);
    resources.take_body(START, unread);
    assert!(resources.hold_answer(START, unread, 6 * BODY_BYTES));
    resources.begin_answer(START, unread);
    resources.note_answer(START, unread, false);
    let other = half_call(&mut resources, START, 100);
    resources.take_body(START, other);

    let has_room_at_once = resources.hold_answer(START, other, BODY_BYTES * 2);
    let has_room_later = resources.hold_answer(after(2), other, BODY_BYTES * 2);

    assert!(!has_room_at_once);
    assert!(has_room_later);
    assert_eq!(
        resources.closed_by(unread),
        Some(ReleaseCause::UnreadAnswer)
    );
}

#[test]
fn a_small_call_is_received_beside_answers_that_have_just_begun() {
    // Guards against a lock-out while nobody counts as not reading yet.
    let mut resources = roomy();
    let mut has_room = true;
    while has_room {
        let number = half_call(&mut resources, START, 100);
        resources.take_body(START, number);
        has_room = resources.hold_answer(START, number, BODY_BYTES / 2);
        resources.begin_answer(START, number);
    }

    let small = half_call(&mut resources, START, 2_000);

    assert_eq!(resources.take_body(START, small).len(), 1_999);
}

#[test]
fn a_caller_that_waits_for_its_answer_does_not_give_way() {
    let mut resources = roomy();
    let waiting = half_call(&mut resources, START, 100);
    resources.take_body(START, waiting);
    assert!(resources.hold_answer(START, waiting, 6 * BODY_BYTES));
    resources.begin_answer(START, waiting);
    resources.note_answer(START, waiting, true);
    let other = half_call(&mut resources, START, 100);
    resources.take_body(START, other);

    assert!(!resources.hold_answer(after(60), other, BODY_BYTES * 2));
    assert_eq!(resources.closed_by(waiting), None);
    resources.close_expired(after(60), &Limits::default());
    assert_eq!(resources.closed_by(waiting), None);
}

#[test]
fn a_new_connection_displaces_one_that_never_had_a_call() {
    let mut resources = resources();
    let kept = open(&mut resources, START);
    let call = resources.begin_call(START, kept, 1, 100).unwrap();
    resources.end_call(START, kept, call);
    let silent = open(&mut resources, after(1));
    open(&mut resources, after(2));
    open(&mut resources, after(3));

    let opened = resources.open(after(4), Endpoint::Callers, None).unwrap();

    assert!(opened.has_displaced);
    let closed = resources.closed_by(silent);
    assert_eq!(closed, Some(ReleaseCause::NewConnection));
    assert_eq!(resources.closed_by(kept), None);
}

#[test]
fn connections_with_calls_that_may_run_are_not_displaced() {
    let mut resources = resources();
    for _ in 0..4 {
        let number = half_call(&mut resources, START, 100);
        resources.take_body(START, number);
    }

    assert!(resources.open(after(9), Endpoint::Callers, None).is_none());
    assert_eq!(resources.releases()[&ReleaseCause::NoRoom], 1);
}

#[test]
fn callers_do_not_use_up_the_connections_of_the_balancer() {
    // Guards against an instance that leaves rotation since its readiness cannot be read.
    let mut resources = resources();
    for _ in 0..10 {
        open(&mut resources, START);
    }

    let opened = resources.open(START, Endpoint::Readiness, None).unwrap();

    assert!(!opened.has_displaced);
}

#[test]
fn slow_heads_and_idle_connections_are_closed_after_the_limits() {
    let mut resources = resources();
    let queue = Arc::new(FakeQueue::default());
    let slow = resources.open(START, Endpoint::Callers, Some(queue.clone()));
    let slow = slow.unwrap().number;
    let idle = open(&mut resources, START);
    queue.has_read.store(true, Ordering::Relaxed);
    let limits = Limits::default();

    resources.close_expired(after(1), &limits);
    resources.close_expired(after(3), &limits);
    assert_eq!(resources.closed_by(slow), None);
    resources.close_expired(after(4), &limits);

    assert_eq!(resources.closed_by(slow), Some(ReleaseCause::SlowHead));
    assert_eq!(resources.closed_by(idle), None);
    resources.close_expired(after(15), &limits);
    assert_eq!(resources.closed_by(idle), Some(ReleaseCause::Idle));
}

#[test]
fn a_caller_that_accepts_nothing_of_its_answer_is_closed_after_the_limit() {
    // Guards against connections and targets that are kept for good by streams nobody reads.
    let mut resources = resources();
    let number = half_call(&mut resources, START, 100);
    resources.take_body(START, number);
    resources.begin_answer(START, number);
    resources.note_answer(START, number, false);
    let limits = Limits::default();

    resources.close_expired(after(14), &limits);
    assert_eq!(resources.closed_by(number), None);
    resources.close_expired(after(15), &limits);

    let closed = resources.closed_by(number);
    assert_eq!(closed, Some(ReleaseCause::SlowReader));
}

#[test]
fn a_caller_that_reads_slowly_is_not_closed() {
    // Guards against answers that are cut since a part of them takes longer than the limit.
    let mut resources = resources();
    let queue = Arc::new(FakeQueue::default());
    let opened = resources.open(START, Endpoint::Callers, Some(queue.clone()));
    let number = opened.unwrap().number;
    resources.begin_call(START, number, 1, 100).unwrap();
    resources.take_body(START, number);
    resources.begin_answer(START, number);
    resources.note_answer(START, number, false);

    for second in 1..60 {
        if second % 10 == 0 {
            queue.has_progressed.store(true, Ordering::Relaxed);
        }
        resources.close_expired(after(second), &Limits::default());
    }

    assert_eq!(resources.closed_by(number), None);
}

#[test]
fn callers_that_send_far_ahead_give_way_once_the_memory_is_used_up() {
    // Guards against memory that fills with bytes which the process does not read.
    let mut resources = roomy();
    let queues: Vec<Arc<FakeQueue>> = (0..60).map(|_| Arc::default()).collect();
    let numbers: Vec<ConnectionNumber> = queues
        .iter()
        .map(|queue| {
            let opened = resources.open(START, Endpoint::Callers, Some(queue.clone()));
            let number = opened.unwrap().number;
            resources.begin_call(START, number, 1, 100).unwrap();
            resources.take_body(START, number);
            number
        })
        .collect();
    for queue in &queues[..50] {
        queue.unread_bytes.store(128 * 1024, Ordering::Relaxed);
    }

    resources.count_sent_ahead(after(1));

    assert!(resources.held_bytes() <= HELD_BYTES_MAX);
    let closed = |numbers: &[ConnectionNumber]| {
        let closed = numbers.iter().map(|number| resources.closed_by(*number));
        closed.flatten().count()
    };
    assert!(closed(&numbers[..50]) > 0);
    assert_eq!(closed(&numbers[50..]), 0);
}

#[test]
fn an_enlarged_send_buffer_counts_until_the_caller_has_read_what_it_held() {
    // Guards against memory in the system's buffers for callers that ask for large answers, read
    // none, and stay.
    let mut resources = roomy();
    let queue = Arc::new(FakeQueue::default());
    let opened = resources.open(START, Endpoint::Callers, Some(queue.clone()));
    let number = opened.unwrap().number;
    let idle_bytes = resources.held_bytes();
    let call = resources.begin_call(START, number, 1, 100).unwrap();
    resources.take_body(START, number);
    resources.begin_answer(START, number);
    resources.enlarge_send_buffer(START, number);
    let large = queue.send_buffer_bytes.load(Ordering::Relaxed);

    resources.end_call(START, number, call);
    let held_after_call = resources.held_bytes();
    let call = resources.begin_call(after(1), number, 1, 100).unwrap();
    resources.end_call(after(1), number, call);
    let held_unread = resources.held_bytes();
    queue.has_written.store(true, Ordering::Relaxed);
    let call = resources.begin_call(after(2), number, 1, 100).unwrap();
    resources.end_call(after(2), number, call);

    let limits = limits();
    assert_eq!(large, limits.large_send_buffer_bytes);
    let small = queue.send_buffer_bytes.load(Ordering::Relaxed);
    assert_eq!(small, limits.send_buffer_bytes);
    let unsent_bytes = limits.unsent_bytes_max();
    assert_eq!(held_after_call, idle_bytes + unsent_bytes);
    assert_eq!(held_unread, idle_bytes + unsent_bytes);
    assert_eq!(resources.held_bytes(), idle_bytes);
}

/// What a caller does next.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Begin(usize),
    Receive(usize, usize),
    Run(usize),
    Answer(usize, usize),
    Stall(usize),
    End(usize),
    Close(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = 0..12_usize;
    let step = prop_oneof![
        Just(Step::Open),
        index.clone().prop_map(Step::Begin),
        (index.clone(), 1..BODY_BYTES).prop_map(|(index, bytes)| Step::Receive(index, bytes)),
        index.clone().prop_map(Step::Run),
        (index.clone(), 1..2 * BODY_BYTES).prop_map(|(index, bytes)| Step::Answer(index, bytes)),
        index.clone().prop_map(Step::Stall),
        index.clone().prop_map(Step::End),
        index.prop_map(Step::Close),
        (1..3_000_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #[test]
    fn what_is_held_stays_within_the_limit_and_is_released(steps in steps()) {
        let mut resources = roomy();
        let mut now = START;
        let mut numbers = Vec::new();
        let mut calls = std::collections::BTreeMap::new();
        for step in steps {
            let at = |index: usize| numbers.get(index).copied().unwrap_or_default();
            match step {
                Step::Open => {
                    let opened = resources.open(now, Endpoint::Callers, None);
                    numbers.extend(opened.map(|opened| opened.number));
                }
                Step::Begin(index) => {
                    if let Ok(call) = resources.begin_call(now, at(index), 10, 500) {
                        calls.insert(at(index), call);
                    }
                }
                Step::Receive(index, bytes) => {
                    let body = vec![b'x'; bytes];
                    let _ = resources.receive(now, at(index), &body, BODY_BYTES);
                }
                Step::Run(index) => {
                    resources.take_body(now, at(index));
                }
                Step::Answer(index, bytes) => {
                    resources.hold_answer(now, at(index), bytes);
                    resources.begin_answer(now, at(index));
                }
                Step::Stall(index) => resources.note_answer(now, at(index), false),
                Step::End(index) => {
                    if let Some(call) = calls.get(&at(index)) {
                        resources.end_call(now, at(index), *call);
                    }
                }
                Step::Close(index) => resources.close(at(index)),
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
            // The host closes at once what is to be closed.
            for number in &numbers {
                if resources.closed_by(*number).is_some() {
                    resources.close(*number);
                }
            }
            prop_assert!(resources.held_bytes() <= HELD_BYTES_MAX);
        }
        for number in numbers {
            resources.close(number);
        }
        prop_assert_eq!(resources.held_bytes(), 0);
        prop_assert_eq!(resources.connections(Endpoint::Callers), 0);
    }
}
