//! The prefill speed of targets is learned from samples, follows changes and resists faulty
//! samples.

use damaskstile_core::random::Random;
use damaskstile_targets::PrefillSpeed;

/// Initial estimate, which fits none of the engines below.
const START_TOKENS_PER_MS: f64 = 50.0;

/// Engine that prefills prompts at a given speed.
#[derive(Debug, Clone, Copy)]
struct Engine {
    start_ms: f64,
    tokens_per_ms: f64,
    ms_per_million_pairs: f64,
}

const FAST: Engine = Engine {
    start_ms: 30.0,
    tokens_per_ms: 64.0,
    ms_per_million_pairs: 0.65,
};
const SLOW: Engine = Engine {
    start_ms: 70.0,
    tokens_per_ms: 15.0,
    ms_per_million_pairs: 2.0,
};

impl Engine {
    fn first_token_ms(self, tokens: f64, after: f64) -> f64 {
        let pairs = tokens * (after + tokens / 2.0);
        self.start_ms + tokens / self.tokens_per_ms + pairs / 1e6 * self.ms_per_million_pairs
    }
}

/// Draws a prompt: most are short, one in ten is long.
fn draw(random: &mut Random) -> (f64, f64) {
    let most = if random.below(10) == 0 { 30_000 } else { 3_000 };
    let mut tokens = || f64::from(u32::try_from(random.below(most)).unwrap()) + 50.0;
    (tokens(), tokens() / 3.0)
}

/// Lets an estimate learn from calls at an engine, of which `late` in a hundred came seconds late.
fn see(speed: &mut PrefillSpeed, random: &mut Random, engine: Engine, calls: u64, late: u64) {
    for _ in 0..calls {
        let (tokens, after) = draw(random);
        let mut took_ms = engine.first_token_ms(tokens, after);
        if random.below(100) < late {
            took_ms += 3_000.0;
        }
        speed.learn(tokens, after, took_ms);
    }
}

/// Returns the relative errors of the estimates of a short and a long prompt.
fn errors(speed: &PrefillSpeed, engine: Engine) -> [f64; 2] {
    [(800.0, 200.0), (25_000.0, 5_000.0)].map(|(tokens, after)| {
        let truth = engine.first_token_ms(tokens, after);
        (speed.first_token_ms(tokens, after) - truth).abs() / truth
    })
}

#[test]
fn the_speed_of_engines_is_learned_within_a_hundred_calls() {
    // Arrange
    let mut speed = PrefillSpeed::new(START_TOKENS_PER_MS);
    let mut random = Random::new(1);
    assert!(errors(&speed, FAST)[1] > 0.2);

    // Act
    see(&mut speed, &mut random, FAST, 100, 0);

    // Assert
    assert!(errors(&speed, FAST).iter().all(|error| *error < 0.1));
}

#[test]
fn a_release_with_other_engines_is_followed() {
    // Guards against first tokens that are expected in a quarter of the time that they take after a
    // release, so that calls pile up behind long prompts. The targets are replaced one by one by
    // others that prefill at a quarter of the speed.

    // Arrange
    let mut speed = PrefillSpeed::new(START_TOKENS_PER_MS);
    let mut random = Random::new(2);
    see(&mut speed, &mut random, FAST, 1_000, 0);

    // Act
    see(&mut speed, &mut random, SLOW, 600, 0);

    // Assert
    let errors = errors(&speed, SLOW);
    assert!(errors.iter().all(|error| *error < 0.25), "{errors:?}");
}

#[test]
fn calls_delayed_by_unreported_prompts_distort_estimates_little() {
    // Arrange
    let mut speed = PrefillSpeed::new(START_TOKENS_PER_MS);
    let mut random = Random::new(3);

    // Act: one call in ten waits three seconds.
    see(&mut speed, &mut random, FAST, 2_000, 10);

    // Assert
    let errors = errors(&speed, FAST);
    assert!(errors.iter().all(|error| *error < 0.5), "{errors:?}");
}

#[test]
fn the_estimate_stays_usable_whatever_the_samples_are() {
    // Arrange
    let mut speed = PrefillSpeed::new(START_TOKENS_PER_MS);
    let absurd = [0.0, 1e12, f64::INFINITY, f64::NAN, -1e9];

    // Act: samples of an instance that froze, of garbled answers, and of a prompt of millions of
    // tokens.
    for took_ms in absurd.into_iter().cycle().take(10_000) {
        speed.learn(500.0, 0.0, took_ms);
        speed.learn(1e7, 1e7, took_ms);
    }

    // Assert: 1,000 tokens take between a millisecond and a second, longer prompts longer.
    let short_ms = speed.prefill_ms(1_000.0, 0.0);
    assert!((1.0..=1_000.0).contains(&short_ms), "{short_ms}");
    assert!(speed.prefill_ms(20_000.0, 0.0) > short_ms);

    // The estimate recovers.
    let mut random = Random::new(4);
    see(&mut speed, &mut random, FAST, 2_000, 0);
    let errors = errors(&speed, FAST);
    assert!(errors.iter().all(|error| *error < 0.25), "{errors:?}");
}

#[test]
fn the_variance_for_long_prompts_stays_bounded_while_only_short_ones_come() {
    // Arrange
    let mut speed = PrefillSpeed::new(START_TOKENS_PER_MS);
    let mut random = Random::new(5);
    see(&mut speed, &mut random, FAST, 500, 0);

    // Act: hours of the same short prompt, and one that came late.
    for _ in 0..100_000 {
        speed.learn(800.0, 200.0, FAST.first_token_ms(800.0, 200.0));
    }
    speed.learn(800.0, 200.0, 4_000.0);

    // Assert
    let errors = errors(&speed, FAST);
    assert!(errors.iter().all(|error| *error < 0.5), "{errors:?}");
}
