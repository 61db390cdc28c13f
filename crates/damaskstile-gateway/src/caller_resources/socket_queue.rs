//! What the system keeps for a connection.

/// What the system keeps for a connection.
pub trait SocketQueue: std::fmt::Debug + Send + Sync {
    /// Returns the bytes that were received and not read.
    fn unread_bytes(&self) -> usize;

    /// Returns whether anything was read since the last call of this method.
    fn take_has_read(&self) -> bool;

    /// Returns whether anything was written since the last call of this method.
    fn take_has_progressed(&self) -> bool;

    /// Sets how much the system keeps that the caller has not acknowledged.
    fn set_send_buffer(&self, bytes: usize);

    /// Returns whether anything was written since the buffer was set: what is unacknowledged fits
    /// into it then.
    fn has_written(&self) -> bool;
}
