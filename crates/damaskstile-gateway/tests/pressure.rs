//! Overload detection of an instance's link and processor.

use std::time::Duration;

use damaskstile_gateway::load_sample::LoadSample;
use damaskstile_gateway::pressure::Pressure;

/// Link of a small instance: 10 Mbit/s, in bytes a second.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// Size of a long prompt with its head.
const CALL_BYTES: usize = 10_000;

/// Objective for beginning a call.
const WITHIN: Duration = Duration::from_millis(250);

/// Sends long prompts at a constant rate for some time; returns how many are refused.
fn load(pressure: &mut Pressure, calls_per_s: u64, from: Duration, span: Duration) -> usize {
    let gap = Duration::from_secs(1) / u32::try_from(calls_per_s).unwrap();
    let mut now = from;
    let mut refused = 0;
    while now < from + span {
        pressure.note_received(now, CALL_BYTES);
        refused += usize::from(!pressure.admit(now, CALL_BYTES, WITHIN));
        now += gap;
    }
    refused
}

#[test]
fn an_overloaded_instance_accepts_no_new_connections() {
    // Guards against a fifth of a data centre's calls timing out while its other instances are
    // idle. The balancer's hash gives one instance 200 calls a second, of 10 KB each, over a link
    // of 10 Mbit/s; connections to targets fail because replies are late. The instance used to
    // report that it was ready all the while.

    // Arrange
    let mut pressure = Pressure::new(LINK_BYTES_PER_S);
    let span = Duration::from_secs(3);

    // Act
    let refused = load(&mut pressure, 200, Duration::ZERO, span);

    // Assert: half of the calls go elsewhere, except for a quarter of a second's worth that is
    // queued.
    assert!(pressure.is_overloaded(span));
    assert!((250..=300).contains(&refused), "{refused}");
}

#[test]
fn an_even_share_or_a_short_burst_is_no_overload() {
    // Arrange
    let mut pressure = Pressure::new(LINK_BYTES_PER_S);
    let span = Duration::from_secs(3);

    // Act: nine calls a second are an even share; a burst of twenty takes a fifth of a second.
    load(&mut pressure, 9, Duration::ZERO, span);
    (0..20).for_each(|_| pressure.note_received(span, CALL_BYTES));

    // Assert
    assert!(!pressure.is_overloaded(span));
}

#[test]
fn callers_are_shed_only_during_overload_and_return_after_a_cool_down() {
    // Arrange
    let mut pressure = Pressure::new(LINK_BYTES_PER_S);
    let ms = Duration::from_millis;

    // Act and assert: twice the capacity.
    let refused = load(&mut pressure, 200, Duration::ZERO, ms(4_000));
    assert!((300..400).contains(&refused), "{refused}");

    // At the capacity: the callers stay, and no new connections are accepted.
    let refused = load(&mut pressure, 60, ms(5_000), ms(6_000));
    assert_eq!(refused, 0);
    pressure.sample(ms(11_000), &LoadSample::default());
    assert!(pressure.is_overloaded(ms(11_000)));

    // Nearly idle: new connections are accepted after the cool-down.
    assert!(pressure.is_overloaded(ms(26_000)));
    assert!(!pressure.is_overloaded(ms(28_000)));
}

#[test]
fn a_call_that_would_wait_too_long_is_refused_at_once() {
    // Guards against calls that wait for seconds in sockets for the outgoing link, while another
    // instance has room.

    // Arrange
    let mut pressure = Pressure::new(LINK_BYTES_PER_S);

    // Act: two hundred at once, where about a hundred a second fit.
    let admitted = (0..200).filter(|_| pressure.admit(Duration::ZERO, CALL_BYTES, WITHIN));
    let admitted = admitted.count();

    // Assert: a quarter of a second of the usable link is admitted.
    assert!((20..=30).contains(&admitted), "{admitted}");
    assert!(pressure.is_overloaded(Duration::ZERO));
    assert!(pressure.admit(Duration::from_secs(1), CALL_BYTES, WITHIN));
}

#[test]
fn a_saturated_processor_refuses_the_calls_it_cannot_serve() {
    // Guards against calls that wait for the processor while another instance has room, with the
    // link nearly idle.

    // Arrange: ten milliseconds of processor time for each of a hundred calls a second.
    let mut pressure = Pressure::new(LINK_BYTES_PER_S);
    let ms = Duration::from_millis;
    let span = ms(250);

    // Act
    let mut admitted = [0; 20];
    for (index, admitted) in admitted.iter_mut().enumerate() {
        let from = span * u32::try_from(index).unwrap();
        for call in 0..25 {
            let now = from + ms(10) * call;
            *admitted += u32::from(pressure.admit(now, 10, WITHIN));
        }
        let sample = LoadSample {
            span,
            busy_with_calls: ms(10) * *admitted + ms(2) * (25 - *admitted),
            ..LoadSample::default()
        };
        pressure.sample(from + span, &sample);
    }

    // Assert: the admitted calls are those that the processor can serve, beside its other work and
    // the refusals.
    let last: u32 = admitted[12..].iter().sum();
    assert!((8 * 12..=8 * 20).contains(&last), "{admitted:?}");
    assert!(pressure.is_overloaded(span * 20));
}

#[test]
fn a_pause_of_the_machine_does_not_raise_the_cost_of_calls() {
    // Guards against calls being refused after a pause of the machine because the pause counted as
    // their cost.

    // Arrange
    let mut pressure = Pressure::new(LINK_BYTES_PER_S);
    let pause = Duration::from_secs(5);
    (0..50).for_each(|_| {
        pressure.admit(Duration::ZERO, 10, WITHIN);
    });

    // Act
    let sample = LoadSample {
        span: pause,
        scheduling_delay: pause,
        busy_with_calls: pause,
        ..LoadSample::default()
    };
    pressure.sample(pause, &sample);

    // Assert
    let admitted = (0..50)
        .filter(|_| pressure.admit(pause, 10, WITHIN))
        .count();
    assert_eq!(admitted, 50);
}

#[test]
fn a_lagging_instance_refuses_calls_until_it_recovers() {
    // Guards against calls being accepted by an instance whose event loop lags by seconds, for
    // which their callers do not wait.

    // Arrange
    let mut pressure = Pressure::new(LINK_BYTES_PER_S);
    let second = Duration::from_secs(1);
    let late = LoadSample {
        scheduling_delay: Duration::from_millis(600),
        ..LoadSample::default()
    };

    // Act and assert: one or two late samples may be a pause of the machine.
    pressure.sample(second, &late);
    pressure.sample(second * 2, &late);
    assert!(pressure.admit(second * 2, 10, WITHIN));
    pressure.sample(second * 3, &late);
    assert!(!pressure.admit(second * 3, 10, WITHIN));
    pressure.sample(second * 4, &LoadSample::default());
    assert!(pressure.admit(second * 4, 10, WITHIN));
}

/// Simulation of a balancer that sends new connections to the first instance that was ready in one
/// of its last two checks, and of callers that each keep a connection.
struct Simulation {
    instances: Vec<Pressure>,
    failed_checks: Vec<u32>,
    /// Index of the instance that each caller is connected to.
    callers: Vec<usize>,
    /// Whether callers keep their connections between calls.
    is_keeping: bool,
    refused: usize,
    /// How often an instance became overloaded.
    overloads: usize,
}

impl Simulation {
    /// Creates instances with these links, in the balancer's order of preference.
    fn new(links_bytes_per_s: &[u64], callers: usize, is_keeping: bool) -> Self {
        let links = links_bytes_per_s.iter();
        Self {
            instances: links.map(|link| Pressure::new(*link)).collect(),
            failed_checks: vec![0; links_bytes_per_s.len()],
            callers: vec![0; callers],
            is_keeping,
            refused: 0,
            overloads: 0,
        }
    }

    fn first_in_rotation(&self) -> usize {
        self.failed_checks
            .iter()
            .position(|failed_checks| *failed_checks < 2)
            .unwrap()
    }

    /// Lets each caller make one call, evenly spread over `span`.
    fn pass(&mut self, from: Duration, span: Duration) {
        let count = u32::try_from(self.callers.len()).unwrap();
        for index in 0..self.callers.len() {
            let now = from + span * u32::try_from(index).unwrap() / count;
            if !self.is_keeping {
                self.callers[index] = self.first_in_rotation();
            }
            let at = self.callers[index];
            let pressure = &mut self.instances[at];
            let was_overloaded = pressure.is_overloaded(now);
            pressure.note_received(now, CALL_BYTES);
            let is_admitted = pressure.admit(now, CALL_BYTES, WITHIN);
            self.overloads += usize::from(!was_overloaded && pressure.is_overloaded(now));
            self.refused += usize::from(!is_admitted);
            if !is_admitted {
                self.callers[index] = self.first_in_rotation();
            }
        }
    }

    fn check_readiness(&mut self, now: Duration) {
        for (pressure, failed_checks) in self.instances.iter_mut().zip(&mut self.failed_checks) {
            let span = Duration::from_secs(1);
            pressure.sample(
                now,
                &LoadSample {
                    span,
                    ..LoadSample::default()
                },
            );
            *failed_checks = if pressure.is_overloaded(now) {
                *failed_checks + 1
            } else {
                0
            };
        }
    }
}

#[test]
fn an_account_too_large_for_one_instance_does_not_oscillate() {
    // Guards against instances that shed all callers at once and get all of them back after the
    // cool-down, so that each is overloaded and empty in turn.

    // Arrange: 180 calls a second, where an instance can serve 100.
    let mut simulation = Simulation::new(&[LINK_BYTES_PER_S; 4], 180, true);
    let second = Duration::from_secs(1);

    // Act
    for index in 0..20 {
        simulation.pass(second * index, second);
        simulation.check_readiness(second * (index + 1));
    }
    let (refused_first, callers_first) = (simulation.refused, simulation.callers.clone());
    for index in 20..60 {
        simulation.pass(second * index, second);
        simulation.check_readiness(second * (index + 1));
    }

    // Assert: the callers have settled, and most stay where they are.
    let moved = simulation.callers.iter().zip(&callers_first);
    let moved = moved.filter(|(now, before)| now != before).count();
    assert!(moved < 60, "{moved} moved");
    let refused = simulation.refused - refused_first;
    assert!(refused < 7_200 / 50, "{refused} of 7,200 refused");
}

#[test]
fn new_connections_settle_on_an_instance_with_capacity() {
    // Guards against the same oscillation where a balancer moves all calls of an account at once.
    // Two instances with small links that were ready again after seconds got all calls in turn,
    // indefinitely.

    // Arrange
    let links = [LINK_BYTES_PER_S, LINK_BYTES_PER_S, 20 * LINK_BYTES_PER_S];
    let mut simulation = Simulation::new(&links, 180, false);
    let second = Duration::from_secs(1);

    // Act
    for index in 0..120 {
        simulation.pass(second * index, second);
        simulation.check_readiness(second * (index + 1));
    }

    // Assert: each instance with a small link was overloaded once, and once or twice more.
    assert!(
        simulation.overloads <= 6,
        "{} overloads",
        simulation.overloads
    );
}
