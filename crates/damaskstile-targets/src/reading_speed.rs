//! `reading_speed` learns how long targets of a service take to read a prompt.

/// Tokens in the unit of the first slope.
const TOKENS_UNIT: f64 = 1e4;
/// Pairs of tokens in the unit of the second slope: each token that is read looks at all before it.
const PAIRS_UNIT: f64 = 1e8;
/// Time of a first token without any prompt, before anything was seen: a few steps of an engine and
/// the way there and back.
const START_MS: f64 = 20.0;
/// How far the first estimates may be off: engines differ by several times.
const START_VARIANCES: [f64; 3] = [30.0 * 30.0, 300.0 * 300.0, 30.0 * 30.0];
/// Longest time that any part may be estimated at for its unit, in milliseconds. What is learned
/// stays of use whatever a fault shows: 1,000 tokens are read in 1 ms to half a second.
const PART_MAX_MS: [f64; 3] = [500.0, 5_000.0, 1_000.0];
/// Least time that 10,000 tokens take.
const TOKENS_MIN_MS: f64 = 10.0;
/// Error of one observation, as a part of the time and in milliseconds: other instances' calls.
const NOISE_PART: f64 = 0.2;
const NOISE_MS: f64 = 10.0;
/// Errors past which an observation counts as one of so many: most that are far too late waited for
/// a prompt that nobody told of.
const ERRORS_MAX: f64 = 2.0;
/// Weight that older observations keep at each new one: some 500 count, which an instance sees
/// within a minute.
const MEMORY: f64 = 0.998;
/// The same once observations err to one side: the engines are others now, and what was seen of the
/// former ones is soon forgotten.
const SHORT_MEMORY: f64 = 0.95;
/// Weight of the newest observation in the side that they err to, and the side from which on they
/// do: half of them by as much as counts.
const DRIFT_WEIGHT: f64 = 0.1;
const DRIFT_LIMIT: f64 = 0.5;

/// Longest prompt that is learned from: no target holds more.
const TOKENS_MAX: f64 = 1e6;
/// Part of the first doubt that always stays, so that it can be learned anew.
const VARIANCE_LEAST: f64 = 1e-4;

type Vector = [f64; 3];

/// `ReadingSpeed` learns how long targets of a service take to read a prompt: a start, a time for
/// each token, and one for each pair of tokens, since what a token looks at grows with the prompt.
///
/// It is a recursive least-squares fit that forgets, and in which one observation moves it by no
/// more than two usual errors. Engines that are replaced by others are followed within a hundred calls.
#[derive(Debug, Clone)]
pub struct ReadingSpeed {
    parts_ms: Vector,
    covariance: [Vector; 3],
    /// Side that late observations err to, from -1 for all too early to 1 for all too late.
    drift: f64,
}

impl ReadingSpeed {
    /// Makes an estimate from what is assumed of engines that nobody has seen yet.
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

    /// Returns the time to read tokens that come after others, in milliseconds.
    ///
    /// ```
    /// use damaskstile_targets::ReadingSpeed;
    /// let speed = ReadingSpeed::new(50.0);
    /// assert_eq!(speed.read_ms(1_000.0, 0.0), 20.0);
    /// ```
    #[must_use]
    pub fn read_ms(&self, tokens: f64, after_tokens: f64) -> f64 {
        let [_, tokens_part, pairs_part] = features(tokens, after_tokens);
        self.parts_ms[1] * tokens_part + self.parts_ms[2] * pairs_part
    }

    /// Returns the time to the first token of such a prompt on an idle target.
    #[must_use]
    pub fn first_token_ms(&self, tokens: f64, after_tokens: f64) -> f64 {
        self.parts_ms[0] + self.read_ms(tokens, after_tokens)
    }

    /// Takes in the time to the first token of a call whose target was likely to read nothing else.
    pub fn learn(&mut self, tokens: f64, after_tokens: f64, took_ms: f64) {
        let seen = features(tokens, after_tokens);
        let expected_ms = self.first_token_ms(tokens, after_tokens);
        let noise_ms = NOISE_MS + NOISE_PART * expected_ms;
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

    /// Keeps the estimates within what an engine can be, and the doubt within what it began with:
    /// while only short prompts come, nothing is learned of long ones, and doubt would grow.
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

/// Returns what a time is made of: a start, tokens, and pairs of tokens.
fn features(tokens: f64, after_tokens: f64) -> Vector {
    let pairs = tokens * (after_tokens + tokens / 2.0);
    [1.0, tokens / TOKENS_UNIT, pairs / PAIRS_UNIT]
}

fn dot(one: &Vector, other: &Vector) -> f64 {
    one.iter().zip(other).map(|(one, other)| one * other).sum()
}
