//! Bounds of the numbers in a catalogue.
//!
//! What operators write is in force whatever it says, but sums and products of numbers near the
//! limits of their types overflow. Larger numbers are lowered to these bounds, which are far above
//! all that makes a difference.

use damaskstile_core::prelude::*;

/// Longest time.
pub(crate) const DURATION_MAX: Duration = Duration::from_hours(365 * 24);
/// Greatest weight of a share; the sum of 65,000 of them fits into 64 bits.
pub(crate) const WEIGHT_MAX: u64 = 1 << 48;
/// Most tokens of one account; the sum of 256 accounts is what a ledger may hold.
pub(crate) const PREPAID_TOKENS_MAX: u64 = 1 << 48;
/// Most tokens of one event.
pub(crate) const EVENT_TOKENS_MAX: u64 = 1 << 32;
/// Largest header section of a call. Memory for all fields that fit into it is reserved at once.
pub(crate) const HEADER_BYTES_MAX: usize = 1 << 20;
/// Largest body of a call.
pub(crate) const BODY_BYTES_MAX: usize = 1 << 30;
