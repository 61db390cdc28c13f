//! Limits on what callers may make the process hold.

use super::endpoint::Endpoint;

/// Bytes in a megabyte.
const MB: usize = 1_000_000;
/// Memory of a process where no other size is set, in megabytes.
const MEMORY_MB: usize = 256;
/// Sockets of a process where no other number is set.
const SOCKETS_MAX: usize = 3_896;
/// Memory of the process itself, in megabytes.
const OWN_MEMORY_MB: usize = 32;
/// Share of the remaining memory that callers may fill, in percent. The rest is for what waits
/// unread in the sockets' buffers, and for memory that is free but scattered.
const HELD_PERCENT: usize = 70;
/// Memory of a connection without a call: its task and the read buffer of the HTTP library.
const IDLE_BYTES: usize = 16 * 1024;
/// Size of the buffer in which the system keeps what a caller has not acknowledged.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// The same while a large answer is passed on, for which the size limits the speed.
const LARGE_SEND_BUFFER_BYTES: usize = 128 * 1024;
/// Size of the buffer in which the system keeps what the process has not read.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Part of what is held for callers that connections without calls may take.
const CONNECTIONS_DIVISOR: usize = 2;
/// Factor by which the system exceeds the sizes that are set for buffers.
const BUFFER_FACTOR: usize = 2;
/// Sockets for the store, peers and listeners: a fixed number, and a part of all.
const OTHER_SOCKETS: usize = 24;
const OTHER_SOCKETS_DIVISOR: usize = 16;

/// Limits on what callers may make the process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes that may be held for callers.
    pub held_bytes_max: usize,
    /// Open connections of callers.
    pub caller_connections_max: usize,
    /// Open connections to an endpoint for operations.
    pub operator_connections_max: usize,
    /// Open connections to targets.
    pub target_connections_max: usize,
    /// Size that is set for the send buffers of callers' connections.
    pub send_buffer_bytes: usize,
    /// The same while a large answer is passed on, if there is room for it.
    pub large_send_buffer_bytes: usize,
    /// Size that is set for the receive buffers of connections with callers and targets.
    pub receive_buffer_bytes: usize,
}

impl CallerLimits {
    /// Derives the limits from the memory of the process and the number of its sockets.
    ///
    /// ```
    /// use damaskstile_gateway::caller_resources::CallerLimits;
    /// let limits = CallerLimits::of_process(260, 3_900);
    /// assert_eq!(limits.held_bytes_max, 159_600_000);
    /// assert!(limits.caller_connections_max + limits.target_connections_max < 3_900);
    /// ```
    #[must_use]
    pub fn of_process(memory_mb: usize, sockets_max: usize) -> Self {
        let held_bytes_max =
            memory_mb.saturating_sub(OWN_MEMORY_MB).max(1) * MB / 100 * HELD_PERCENT;
        let others = OTHER_SOCKETS + sockets_max / OTHER_SOCKETS_DIVISOR;
        let operators = (sockets_max / 32).clamp(4, 32);
        // Metrics and readiness are separate endpoints.
        let shared = sockets_max.saturating_sub(others + 2 * operators).max(2);
        let connection_bytes = IDLE_BYTES + SEND_BUFFER_BYTES * BUFFER_FACTOR;
        let by_memory = held_bytes_max / CONNECTIONS_DIVISOR / connection_bytes;
        Self {
            held_bytes_max,
            caller_connections_max: (shared / 2).min(by_memory).max(1),
            operator_connections_max: operators,
            target_connections_max: shared / 2,
            send_buffer_bytes: SEND_BUFFER_BYTES,
            large_send_buffer_bytes: LARGE_SEND_BUFFER_BYTES,
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
        }
    }

    /// Returns what a connection without a call takes, with what the system may keep for it, in
    /// bytes.
    #[must_use]
    pub fn connection_bytes(&self) -> usize {
        IDLE_BYTES + self.send_buffer_bytes * BUFFER_FACTOR
    }

    /// Returns how much the system keeps unacknowledged at most while a large answer is passed on,
    /// in bytes.
    #[must_use]
    pub fn unsent_bytes_max(&self) -> usize {
        self.large_send_buffer_bytes * BUFFER_FACTOR
    }

    /// Returns how much of a connection the system keeps unread at most, in bytes.
    #[must_use]
    pub fn unread_bytes_max(&self) -> usize {
        self.receive_buffer_bytes * BUFFER_FACTOR
    }

    /// Returns the largest number of open connections to an endpoint.
    #[must_use]
    pub fn connections_max(&self, endpoint: Endpoint) -> usize {
        match endpoint {
            Endpoint::Callers => self.caller_connections_max,
            Endpoint::Readiness | Endpoint::Metrics => self.operator_connections_max,
        }
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self::of_process(MEMORY_MB, SOCKETS_MAX)
    }
}
