//! Short descriptions of what is wrong with a stored object.

/// Maximum length of a description, in characters. Decoders quote the wrong value, which may be as
/// large as the object; log lines and the list of refused objects must not grow with it.
const FAULT_CHARS_MAX: usize = 200;
/// Start of the position that a decoder appends to its message.
const POSITION_MARKER: &str = " at line ";

/// Returns a decoder's error message without the position, truncated to the maximum length.
///
/// The position shifts with every change of a number in the object. If it were kept, each write of
/// the same wrong object would be logged as a new fault.
///
/// ```
/// use damaskstile_gateway::fault::fault;
/// assert_eq!(fault("missing field `a` at line 1 column 30"), "missing field `a`");
/// ```
#[must_use]
pub fn fault(error: &str) -> String {
    let text = error
        .rsplit_once(POSITION_MARKER)
        .map_or(error, |(before, _)| before);
    text.chars().take(FAULT_CHARS_MAX).collect()
}
