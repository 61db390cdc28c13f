//! `fingerprint` names what a call asks for, the same at every instance and for every attempt.

use std::fmt;

use damaskstile_core::random::stable_hash;
use sha2::{Digest, Sha256};

use crate::content::Content;

/// Bytes of the digest that are kept: too many for a caller to find two contents that share them.
const DIGEST_BYTES: usize = 16;
/// Bytes that are shown in logs.
const SHOWN_BYTES: usize = 6;

/// `Fingerprint` names what a call asks for.
///
/// Every attempt of a caller has an id of its own, so ids do not tell that the same is asked for
/// once more. The account is part of the name: no caller can make calls of another account bear it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint {
    outline: u64,
    digest: [u8; DIGEST_BYTES],
}

impl Fingerprint {
    /// Names a content.
    ///
    /// ```
    /// use damaskstile_requests::{Content, Fingerprint};
    /// let content = |body| Content { account: "a", method: "GET", host: "h", path: "/", body };
    /// let (one, other) = (content(b"x"), content(b"y"));
    /// assert_eq!(Fingerprint::of(&one), Fingerprint::of(&one));
    /// assert_ne!(Fingerprint::of(&one), Fingerprint::of(&other));
    /// ```
    #[must_use]
    pub fn of(content: &Content<'_>) -> Self {
        let mut hasher = Sha256::new();
        let parts = [
            content.account.as_bytes(),
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            content.body,
        ];
        for part in parts {
            hasher.update(part.len().to_be_bytes());
            hasher.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Self {
            outline: Self::outline_of(content),
            digest,
        }
    }

    /// Returns a name of a content that is found without reading its body. Contents that differ may
    /// share it.
    #[must_use]
    pub fn outline_of(content: &Content<'_>) -> u64 {
        let length = content.body.len().to_string();
        stable_hash(&[
            content.account,
            content.method,
            content.host,
            content.path,
            &length,
        ])
    }

    /// Returns the first and the last of all names that share an outline.
    pub(crate) fn range_of(outline: u64) -> std::ops::RangeInclusive<Self> {
        let with = |byte| Self {
            outline,
            digest: [byte; DIGEST_BYTES],
        };
        with(0)..=with(u8::MAX)
    }

    /// Returns the name as bytes, as peers tell it to each other.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = self.outline.to_be_bytes().to_vec();
        bytes.extend(self.digest);
        bytes
    }

    /// Reads a name; `None` where the bytes are none.
    ///
    /// ```
    /// use damaskstile_requests::Fingerprint;
    /// assert_eq!(Fingerprint::from_bytes(b"short"), None);
    /// ```
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (outline, digest) = bytes.split_first_chunk()?;
        Some(Self {
            outline: u64::from_be_bytes(*outline),
            digest: digest.try_into().ok()?,
        })
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.digest.iter().take(SHOWN_BYTES);
        shown
            .into_iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
