//! What callers make the process hold: connections, heads, bodies and answers, in one budget.

mod caller_limits;
mod connection_phase;
mod endpoint;
mod held_connection;
mod opened_connection;
mod release_cause;
mod socket_queue;

use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_routes::Limits;

pub use caller_limits::CallerLimits;
pub use connection_phase::ConnectionPhase;
pub use endpoint::Endpoint;
use held_connection::HeldConnection;
pub use opened_connection::OpenedConnection;
pub use release_cause::ReleaseCause;
pub use socket_queue::SocketQueue;

/// Number of a connection, unique within the process.
pub type ConnectionNumber = u64;
/// Number of a call, unique within the process.
pub type CallNumber = u64;

/// Fixed memory of a call: its task, its parsed head and the buffer that the head was read into.
const CALL_BYTES: usize = 32 * 1024;
/// Memory of a header field, beside its text: an entry of the header map and its name, in the call
/// and in the copy that is sent.
const FIELD_BYTES: usize = 512;
/// Memory of a byte of a head, which may become a part of a prompt with every few bytes.
const HEAD_BYTE_FACTOR: usize = 16;
/// Size up to which a call may use the room that larger ones leave.
const SMALL_CALL_BYTES: usize = 128 * 1024;
/// Time without progress after which a caller counts as not reading its answer.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Time without progress after which a caller that does not read gives way to a new connection,
/// which would otherwise be closed.
const DISPLACED_AFTER: Duration = Duration::from_millis(250);
/// Unread bytes from which on a caller counts as sending ahead of its answers: more than a head.
const SENT_AHEAD_BYTES: usize = 16 * 1024;

/// Keeps what callers make the process hold within its memory and descriptors.
///
/// Each connection has an entry that counts the bytes held for it, and a body that is being received
/// is kept in the entry itself. If there is no room, whoever has held the most bytes for the longest
/// gives way, among those whose calls are certain not to have run and those who do not read their
/// answers. A small call that has just arrived costs the least, so it is served beside any number of
/// large ones that do not end.
#[derive(Debug)]
pub struct CallerResources {
    limits: CallerLimits,
    connections: BTreeMap<ConnectionNumber, HeldConnection>,
    next_connection: ConnectionNumber,
    next_call: CallNumber,
    held_bytes: usize,
    open: BTreeMap<Endpoint, usize>,
    releases: BTreeMap<ReleaseCause, u64>,
}

impl CallerResources {
    /// Creates a budget that is not used yet.
    ///
    /// ```
    /// use damaskstile_gateway::caller_resources::{CallerLimits, CallerResources};
    /// let resources = CallerResources::new(CallerLimits::default());
    /// assert_eq!(resources.held_bytes(), 0);
    /// ```
    #[must_use]
    pub fn new(limits: CallerLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            next_connection: 1,
            next_call: 1,
            held_bytes: 0,
            open: BTreeMap::new(),
            releases: BTreeMap::new(),
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the bytes held for callers.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of open connections to an endpoint.
    #[must_use]
    pub fn connections(&self, endpoint: Endpoint) -> usize {
        self.open.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns how often callers had to give way, by cause.
    #[must_use]
    pub fn releases(&self) -> &BTreeMap<ReleaseCause, u64> {
        &self.releases
    }

    /// Counts a new connection. If there are too many, an earlier one gives way that has no call,
    /// or one whose call is still being received; `None` if there is no such connection.
    pub fn open(
        &mut self,
        now: Duration,
        endpoint: Endpoint,
        queue: Option<Arc<dyn SocketQueue>>,
    ) -> Option<OpenedConnection> {
        let is_full = self.connections(endpoint) >= self.limits.connections_max(endpoint)
            || self.held_bytes + self.limits.connection_bytes() > self.limits.held_bytes_max;
        let mut has_displaced = false;
        if is_full {
            let victim = self.connection_to_close(now, endpoint);
            let Some(victim) = victim else {
                self.count(ReleaseCause::NoRoom);
                return None;
            };
            self.close_early(victim, ReleaseCause::NewConnection);
            has_displaced = true;
        }
        let number = self.next_connection;
        self.next_connection += 1;
        let connection = HeldConnection::new(now, endpoint, self.limits.connection_bytes(), queue);
        let opened = connection.opened(number, has_displaced);
        self.held_bytes += connection.bytes();
        self.connections.insert(number, connection);
        *self.open.entry(endpoint).or_default() += 1;
        Some(opened)
    }

    /// Releases a connection that was closed.
    pub fn close(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        self.held_bytes -= connection.bytes();
        if let Some(open) = self.open.get_mut(&connection.endpoint) {
            *open -= 1;
        }
    }

    /// Closes a connection whose caller has left.
    pub fn close_left(&mut self, number: ConnectionNumber) {
        self.close_early(number, ReleaseCause::CallerLeft);
    }

    /// Returns why a connection is to be closed; `None` if it is not.
    #[must_use]
    pub fn closed_by(&self, number: ConnectionNumber) -> Option<ReleaseCause> {
        self.connections.get(&number)?.closed_by
    }

    /// Begins a call whose head was received.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it.
    pub fn begin_call(
        &mut self,
        now: Duration,
        number: ConnectionNumber,
        fields: usize,
        head_bytes: usize,
    ) -> Result<CallNumber, ReleaseCause> {
        let call = self.next_call;
        self.next_call += 1;
        self.update(number, |connection| connection.begin_call(now, call));
        let size = self.limits.send_buffer_bytes;
        self.update(number, |connection| connection.reduce_send_buffer(size));
        let bytes = CALL_BYTES + fields * FIELD_BYTES + head_bytes * HEAD_BYTE_FACTOR;
        if !self.make_room(now, number, bytes) {
            self.count(ReleaseCause::NoRoom);
            return Err(ReleaseCause::NoRoom);
        }
        self.update(number, |connection| connection.call_bytes = bytes);
        Ok(call)
    }

    /// Adds bytes to the body of a call. `bytes_max` is the size that the body can reach.
    ///
    /// # Errors
    ///
    /// Returns an error if the call has to give way. Its body was released.
    pub fn receive(
        &mut self,
        now: Duration,
        number: ConnectionNumber,
        bytes: &[u8],
        bytes_max: usize,
    ) -> Result<(), ReleaseCause> {
        let Some(connection) = self.connections.get(&number) else {
            return Err(ReleaseCause::NoRoom);
        };
        if connection.is_denied {
            return Err(ReleaseCause::BodyMemory);
        }
        let growth = connection.body.growth(bytes.len(), bytes_max);
        if growth > 0 && !self.make_room(now, number, growth) {
            self.deny(number);
            return Err(ReleaseCause::BodyMemory);
        }
        self.update(number, |connection| {
            connection.body.extend(bytes, bytes_max);
        });
        Ok(())
    }

    /// Returns whether the call on a connection had to give way while its body was received.
    #[must_use]
    pub fn is_denied(&self, number: ConnectionNumber) -> bool {
        let connection = self.connections.get(&number);
        connection.is_some_and(|connection| connection.is_denied)
    }

    /// Returns the complete body of a call, which from now on may run. The body counts until the
    /// call ends.
    pub fn take_body(&mut self, now: Duration, number: ConnectionNumber) -> Bytes {
        let mut body = Bytes::new();
        self.update(number, |connection| body = connection.take_body(now));
        body
    }

    /// Begins the answer of a call.
    pub fn begin_answer(&mut self, now: Duration, number: ConnectionNumber) {
        self.update(number, |connection| connection.begin_answer(now));
    }

    /// Sets the bytes of a call's answer that are held; returns whether there is room for them.
    /// Otherwise the earlier number stays.
    pub fn hold_answer(&mut self, now: Duration, number: ConnectionNumber, bytes: usize) -> bool {
        let held = self.connections.get(&number);
        let held = held.map_or(0, |connection| connection.answer_bytes);
        if bytes > held && !self.make_room(now, number, bytes - held) {
            return false;
        }
        self.update(number, |connection| connection.answer_bytes = bytes);
        true
    }

    /// Counts an event of a stream, which is there already, whether there is room or not.
    pub fn hold_event(&mut self, now: Duration, number: ConnectionNumber, bytes: usize) {
        if !self.hold_answer(now, number, bytes) {
            self.update(number, |connection| connection.answer_bytes = bytes);
        }
    }

    /// Enlarges the send buffer of a connection for a large answer, if there is room. The buffer is
    /// small again from the next call on.
    pub fn enlarge_send_buffer(&mut self, now: Duration, number: ConnectionNumber) {
        let bytes = self.limits.unsent_bytes_max();
        let counted = self.connections.get(&number);
        let counted = counted.map_or(0, |connection| connection.unsent_bytes);
        if !self.make_room(now, number, bytes - counted) {
            return;
        }
        let size = self.limits.large_send_buffer_bytes;
        self.update(number, |connection| {
            connection.enlarge_send_buffer(size, bytes);
        });
    }

    /// Records whether a caller waits for more of its answer, or was passed some of it.
    pub fn note_answer(&mut self, now: Duration, number: ConnectionNumber, is_waiting: bool) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.note_answer(now, is_waiting);
        }
    }

    /// Ends a call, unless the connection has begun another one.
    pub fn end_call(&mut self, now: Duration, number: ConnectionNumber, call: CallNumber) {
        self.update(number, |connection| connection.end_call(now, call));
    }

    /// Records that a connection is only kept until its caller has read the answer.
    pub fn linger(&mut self, now: Duration, number: ConnectionNumber) {
        self.update(number, |connection| {
            connection.set_phase(now, ConnectionPhase::Lingering);
        });
    }

    /// Closes connections whose callers take longer than the limits allow for a head, for the next
    /// call, or for accepting a part of an answer.
    pub fn close_expired(&mut self, now: Duration, limits: &Limits) {
        let mut expired = Vec::new();
        for (number, connection) in &mut self.connections {
            if let Some(cause) = connection.expired(now, limits) {
                expired.push((*number, cause));
            }
        }
        for (number, cause) in expired {
            self.close_early(number, cause);
        }
    }

    /// Counts what callers have sent ahead of their answers, where it could be too much.
    pub fn count_sent_ahead(&mut self, now: Duration) {
        let may_hold = |connection: &HeldConnection| connection.leaves_bytes_unread();
        let numbers = self.connections.iter();
        let numbers = numbers.filter(|(_, connection)| may_hold(connection));
        let numbers: Vec<ConnectionNumber> = numbers.map(|(number, _)| *number).collect();
        if numbers.len() * self.limits.unread_bytes_max() <= self.limits.held_bytes_max / 4 {
            return;
        }
        for number in numbers {
            self.update(number, HeldConnection::count_unread);
        }
        self.make_room(now, 0, 0);
    }

    /// Makes room for bytes of a connection; returns whether there is enough. The connection itself
    /// may be the one that has to give way.
    fn make_room(&mut self, now: Duration, number: ConnectionNumber, bytes: usize) -> bool {
        let held = self.connections.get(&number);
        let held = held.map_or(0, HeldConnection::bytes_of_call);
        let bytes_max = if held + bytes <= SMALL_CALL_BYTES {
            self.limits.held_bytes_max
        } else if self.is_in(number, ConnectionPhase::Receiving) {
            self.limits.held_bytes_max / 16 * 14
        } else {
            self.limits.held_bytes_max / 16 * 15
        };
        while self.held_bytes + bytes > bytes_max {
            let costs = self.connections.iter().filter_map(|(other, connection)| {
                let more = if *other == number { bytes } else { 0 };
                let cost = connection.cost(now, more)?;
                Some((cost, *other))
            });
            match costs.max() {
                Some((_, victim)) if victim == number => return false,
                Some((_, victim)) => self.release(victim),
                None => return false,
            }
        }
        true
    }

    /// Makes a caller give way to others.
    fn release(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        match connection.phase {
            ConnectionPhase::Receiving => self.deny(number),
            ConnectionPhase::Answering if connection.unread_bytes < SENT_AHEAD_BYTES => {
                self.close_early(number, ReleaseCause::UnreadAnswer);
            }
            _ => self.close_early(number, ReleaseCause::SentAhead),
        }
    }

    /// Releases the body of a call that is then refused.
    fn deny(&mut self, number: ConnectionNumber) {
        self.count(ReleaseCause::BodyMemory);
        self.update(number, HeldConnection::deny);
    }

    fn close_early(&mut self, number: ConnectionNumber, cause: ReleaseCause) {
        self.count(cause);
        self.update(number, |connection| connection.close(cause));
    }

    /// Returns the connection that gives way to a new one.
    fn connection_to_close(&self, now: Duration, endpoint: Endpoint) -> Option<ConnectionNumber> {
        let connections = self.connections.iter();
        let ranked = connections.filter_map(|(number, connection)| {
            let rank = connection
                .rank_to_close(now)
                .filter(|_| connection.endpoint == endpoint)?;
            Some((rank, *number))
        });
        ranked.min().map(|(_, number)| number)
    }

    fn is_in(&self, number: ConnectionNumber, phase: ConnectionPhase) -> bool {
        let connection = self.connections.get(&number);
        connection.is_some_and(|connection| connection.phase == phase)
    }

    fn count(&mut self, cause: ReleaseCause) {
        *self.releases.entry(cause).or_default() += 1;
    }

    /// Changes a connection and what it counts for.
    fn update(&mut self, number: ConnectionNumber, change: impl FnOnce(&mut HeldConnection)) {
        if let Some(connection) = self.connections.get_mut(&number) {
            self.held_bytes -= connection.bytes();
            change(connection);
            self.held_bytes += connection.bytes();
        }
    }
}
