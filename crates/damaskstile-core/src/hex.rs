//! Hexadecimal encoding of bytes.

use std::fmt::Write;

/// Encodes bytes in lower-case hexadecimal.
///
/// ```
/// assert_eq!(damaskstile_core::hex::to_hex(&[1, 255]), "01ff");
/// ```
#[must_use]
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Decodes hexadecimal text; `None` if the text is malformed.
///
/// ```
/// use damaskstile_core::hex::from_hex;
/// assert_eq!(from_hex("01ff"), Some(vec![1, 255]));
/// assert_eq!(from_hex("1"), None);
/// ```
#[must_use]
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len() / 2)
        .map(|index| text.get(index * 2..index * 2 + 2))
        .map(|digits| u8::from_str_radix(digits?, 16).ok())
        .collect()
}
