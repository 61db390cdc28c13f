//! Seeded pseudo-random numbers and stable hashes, by which runs can be reproduced exactly.

/// Offset basis of FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;

/// `Random` is a pseudo-random number generator (`splitmix64`) with a given seed.
///
/// It is not cryptographically secure.
#[derive(Debug, Clone)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator.
    ///
    /// ```
    /// use damaskstile_core::random::Random;
    /// assert_eq!(Random::new(7).next_u64(), Random::new(7).next_u64());
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            0
        } else {
            self.next_u64() % bound
        }
    }

    /// Returns an index into a list of length `len`; 0 if the list is empty.
    pub fn index(&mut self, len: usize) -> usize {
        let bound = u64::try_from(len).unwrap_or(u64::MAX);
        usize::try_from(self.below(bound)).unwrap_or(0)
    }
}

/// Hashes bytes, with the same result on every instance (FNV-1a with a final mix).
///
/// ```
/// use damaskstile_core::random::stable_hash_of_bytes;
/// assert_ne!(stable_hash_of_bytes(b"a"), stable_hash_of_bytes(b"b"));
/// ```
#[must_use]
pub fn stable_hash_of_bytes(bytes: &[u8]) -> u64 {
    Random::new(fnv1a(FNV_OFFSET_BASIS, bytes.iter().copied())).next_u64()
}

fn fnv1a(hash: u64, bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(hash, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
    })
}

/// Hashes a list of texts, with the same result on every instance (FNV-1a with a final mix).
///
/// ```
/// use damaskstile_core::random::stable_hash;
/// assert_ne!(stable_hash(&["a", "b"]), stable_hash(&["ab"]));
/// ```
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        hash = fnv1a(hash, part.bytes().chain(std::iter::once(0xFF)));
    }
    Random::new(hash).next_u64()
}
