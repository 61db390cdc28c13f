//! Learns how fast the targets of a service prefill prompts.

/// Tokens in the unit of the linear term.
const TOKENS_UNIT: f64 = 1e4;
/// Pairs of tokens in the unit of the quadratic term: each token of the prefill attends to all
/// before it.
const PAIRS_UNIT: f64 = 1e8;
/// Initial estimate of the time to the first token without any prompt: a few steps of an engine and
/// the round trip.
const START_MS: f64 = 20.0;
/// Initial variances of the estimates; engines differ by several times.
const START_VARIANCES: [f64; 3] = [30.0 * 30.0, 300.0 * 300.0, 30.0 * 30.0];
/// Upper bounds of the estimates, in milliseconds for their units. They keep the estimates usable
/// whatever faulty samples show: the prefill of 1,000 tokens takes 1 ms to half a second.
const PART_MAX_MS: [f64; 3] = [500.0, 5_000.0, 1_000.0];
/// Lower bound of the time for 10,000 tokens.
const TOKENS_MIN_MS: f64 = 10.0;
/// Standard error of one sample, as a share of the expected time and in milliseconds. It is due to
/// the calls of other instances.
const NOISE_SHARE: f64 = 0.2;
const NOISE_MS: f64 = 10.0;
/// Standard errors to which the error of a sample is clipped: most samples that are far too late
/// waited for a prompt that no peer reported.
const ERRORS_MAX: f64 = 2.0;
/// Weight that older samples keep at each new one: some 500 count, which an instance sees within a
/// minute.
const MEMORY: f64 = 0.998;
/// Weight that older samples keep while the newer ones deviate to one side. The engines have been
/// replaced then, and samples of the former ones are soon forgotten.
const SHORT_MEMORY: f64 = 0.95;
/// Weight of the newest sample in the drift, and the drift from which on samples count as deviating
/// to one side: half of them by the clipped error.
const DRIFT_WEIGHT: f64 = 0.1;
const DRIFT_LIMIT: f64 = 0.5;

/// Longest prompt to learn from: no target holds more.
const TOKENS_MAX: f64 = 1e6;
/// Share of the initial variance that always remains, so that an estimate can be learned anew.
const VARIANCE_LEAST: f64 = 1e-4;

type Vector = [f64; 3];

/// Estimates how long the targets of a service take to prefill a prompt: a constant, a time for
/// each token, and one for each pair of tokens, since what a token attends to grows with the
/// prompt.
///
/// It is a recursive least-squares fit with forgetting, in which one sample moves the estimate by
/// no more than two standard errors. Engines that are replaced by others are followed within a
/// hundred calls.
#[derive(Debug, Clone)]
pub struct PrefillSpeed {
    parts_ms: Vector,
    covariance: [Vector; 3],
    /// Side to which recent samples deviate, from -1 for all too early to 1 for all too late.
    drift: f64,
}

impl PrefillSpeed {
    /// Creates an estimate from the speed assumed for engines that have not been observed.
    #[must_use]
    pub fn new(tokens_per_ms: f64) -> Self {
        let mut covariance = [[0.0; 3]; 3];
        for (index, variance) in START_VARIANCES.iter().enumerate() {
            covariance[index][index] = *variance;
        }
        Self {
            parts_ms: [START_MS, TOKENS_UNIT / tokens_per_ms, 0.0],
            covariance,
            drift: 0.0,
        }
    }

    /// Returns the prefill time of tokens that follow others, in milliseconds.
    ///
    /// ```
    /// use damaskstile_targets::PrefillSpeed;
    /// let speed = PrefillSpeed::new(50.0);
    /// assert_eq!(speed.prefill_ms(1_000.0, 0.0), 20.0);
    /// ```
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64, after_tokens: f64) -> f64 {
        let [_, tokens_part, pairs_part] = features(tokens, after_tokens);
        self.parts_ms[1] * tokens_part + self.parts_ms[2] * pairs_part
    }

    /// Returns the time to the first token of such a prompt on an idle target, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, tokens: f64, after_tokens: f64) -> f64 {
        self.parts_ms[0] + self.prefill_ms(tokens, after_tokens)
    }

    /// Learns from the time to the first token of a call whose target was likely to prefill nothing
    /// else.
    pub fn learn(&mut self, tokens: f64, after_tokens: f64, took_ms: f64) {
        let seen = features(tokens, after_tokens);
        let expected_ms = self.first_token_ms(tokens, after_tokens);
        let noise_ms = NOISE_MS + NOISE_SHARE * expected_ms;
        let limit_ms = ERRORS_MAX * noise_ms;
        let error_ms = (took_ms - expected_ms).clamp(-limit_ms, limit_ms);
        if !error_ms.is_finite() || tokens + after_tokens > TOKENS_MAX {
            return;
        }
        self.drift += DRIFT_WEIGHT * (error_ms / limit_ms - self.drift);
        let memory = if self.drift.abs() > DRIFT_LIMIT {
            SHORT_MEMORY
        } else {
            MEMORY
        };
        let spread = self.covariance.map(|row| dot(&row, &seen));
        let weight = memory * noise_ms * noise_ms + dot(&spread, &seen);
        let gain = spread.map(|part| part / weight);
        for (row, of_row) in gain.iter().enumerate() {
            self.parts_ms[row] += of_row * error_ms;
            for (column, of_column) in spread.iter().enumerate() {
                let kept = self.covariance[row][column] - of_row * of_column;
                self.covariance[row][column] = kept / memory;
            }
        }
        self.bound();
    }

    /// Keeps the estimates within what an engine can do, and the variances within their initial
    /// values. While only short prompts arrive, nothing is learned of long ones, and the variance
    /// would grow.
    fn bound(&mut self) {
        for (part, most) in self.parts_ms.iter_mut().zip(PART_MAX_MS) {
            *part = part.clamp(0.0, most);
        }
        self.parts_ms[1] = self.parts_ms[1].max(TOKENS_MIN_MS);
        for (index, most) in START_VARIANCES.iter().enumerate() {
            let least = most * VARIANCE_LEAST;
            let variance = self.covariance[index][index].max(least);
            self.covariance[index][index] = variance;
            if variance > *most {
                let scale = (most / variance).sqrt();
                self.covariance[index] = self.covariance[index].map(|part| part * scale);
                for row in &mut self.covariance {
                    row[index] *= scale;
                }
            }
        }
    }
}

/// Returns the terms that a time consists of: a constant, tokens, and pairs of tokens.
fn features(tokens: f64, after_tokens: f64) -> Vector {
    let pairs = tokens * (after_tokens + tokens / 2.0);
    [1.0, tokens / TOKENS_UNIT, pairs / PAIRS_UNIT]
}

fn dot(one: &Vector, other: &Vector) -> f64 {
    one.iter().zip(other).map(|(one, other)| one * other).sum()
}
