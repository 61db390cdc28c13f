//! `fault` says what is wrong with a stored object, in a few words.

/// Longest text of a fault. A wrong value is quoted in it, and another writer's may be as large as
/// an object; logs and what is remembered of refused objects must not grow with it.
const FAULT_CHARS_MAX: usize = 200;
/// Begins the position that a decoder adds to its message.
const POSITION: &str = " at line ";

/// Returns what a decoder's error says, without the position and cut to a few words.
///
/// The position moves with every count in the object, so with it each write of the same wrong
/// object would be news, and logged.
///
/// ```
/// use damaskstile_gateway::fault::fault;
/// assert_eq!(fault("missing field `a` at line 1 column 30"), "missing field `a`");
/// ```
#[must_use]
pub fn fault(error: &str) -> String {
    let text = error
        .rsplit_once(POSITION)
        .map_or(error, |(before, _)| before);
    text.chars().take(FAULT_CHARS_MAX).collect()
}
