//! Fingerprints of contents, equal at every instance and for every attempt of a call.

use std::fmt;

use damaskstile_core::random::stable_hash;
use sha2::{Digest, Sha256};

use crate::content::Content;

/// Length of the truncated digest, in bytes: enough that a caller cannot find a collision.
const DIGEST_BYTES: usize = 16;
/// Coarse hash of all parts of prompts.
const PART_HASH: u64 = u64::MAX;
/// Length of the digest prefix displayed in logs, in bytes.
const DISPLAYED_BYTES: usize = 6;

/// `Fingerprint` identifies the content of a call.
///
/// Each attempt of a caller has its own id, so repeats of the same content cannot be recognised by
/// id. The fingerprint covers the account, so that no caller can produce the fingerprint of another
/// account's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint {
    coarse_hash: u64,
    digest: [u8; DIGEST_BYTES],
}

impl Fingerprint {
    /// Returns the fingerprint of a part of prompts. Several client accounts may send the same part.
    ///
    /// ```
    /// use damaskstile_requests::Fingerprint;
    /// assert!(Fingerprint::of_part(7).is_part());
    /// assert_ne!(Fingerprint::of_part(7), Fingerprint::of_part(8));
    /// ```
    #[must_use]
    pub fn of_part(part: u64) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest[..8].copy_from_slice(&part.to_be_bytes());
        Self {
            coarse_hash: PART_HASH,
            digest,
        }
    }

    /// Tells whether this is the fingerprint of a part of prompts rather than of a whole content.
    #[must_use]
    pub fn is_part(&self) -> bool {
        self.coarse_hash == PART_HASH
    }

    /// Returns the name of the part, if this is the fingerprint of one.
    pub(crate) fn part(&self) -> Option<u64> {
        let (name, _) = self.digest.split_first_chunk()?;
        self.is_part().then(|| u64::from_be_bytes(*name))
    }

    /// Computes the fingerprint of a content.
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
            coarse_hash: Self::coarse_hash_of(content),
            digest,
        }
    }

    /// Returns a hash of everything but the body, of which only the length is included. Contents
    /// that differ may share it.
    #[must_use]
    pub fn coarse_hash_of(content: &Content<'_>) -> u64 {
        let length = content.body.len().to_string();
        stable_hash(&[
            content.account,
            content.method,
            content.host,
            content.path,
            &length,
        ])
    }

    /// Returns the range of all fingerprints with the given coarse hash.
    pub(crate) fn range_of(coarse_hash: u64) -> std::ops::RangeInclusive<Self> {
        let with = |byte| Self {
            coarse_hash,
            digest: [byte; DIGEST_BYTES],
        };
        with(0)..=with(u8::MAX)
    }

    /// Encodes the fingerprint as peers exchange it.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = self.coarse_hash.to_be_bytes().to_vec();
        bytes.extend(self.digest);
        bytes
    }

    /// Decodes a fingerprint; `None` if the bytes are not of the right length.
    ///
    /// ```
    /// use damaskstile_requests::Fingerprint;
    /// assert_eq!(Fingerprint::from_bytes(b"short"), None);
    /// ```
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (coarse_hash, digest) = bytes.split_first_chunk()?;
        Some(Self {
            coarse_hash: u64::from_be_bytes(*coarse_hash),
            digest: digest.try_into().ok()?,
        })
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let displayed = self.digest.iter().take(DISPLAYED_BYTES);
        displayed
            .into_iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
