//! What the system keeps for a caller's connection.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use socket2::SockRef;
use tokio::net::TcpStream;

use crate::caller_resources::SocketQueue;
use crate::stream_marks::StreamMarks;

/// What the system keeps for a caller's connection.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    stream: Weak<TcpStream>,
    marks: Arc<StreamMarks>,
}

impl CallerSocket {
    pub(crate) fn new(stream: &Arc<TcpStream>, marks: &Arc<StreamMarks>) -> Self {
        Self {
            stream: Arc::downgrade(stream),
            marks: Arc::clone(marks),
        }
    }
}

impl SocketQueue for CallerSocket {
    fn unread_bytes(&self) -> usize {
        let Some(stream) = self.stream.upgrade() else {
            return 0;
        };
        // Where the system does not tell, nothing is known to be unread.
        let bytes = rustix::io::ioctl_fionread(&*stream).unwrap_or(0);
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    fn take_has_read(&self) -> bool {
        self.marks.read.swap(false, Ordering::Relaxed)
    }

    fn take_has_progressed(&self) -> bool {
        self.marks.progressed.swap(false, Ordering::Relaxed)
    }

    fn set_send_buffer(&self, bytes: usize) {
        if let Some(stream) = self.stream.upgrade() {
            // Where the system does not take the size, its own applies.
            let _ = SockRef::from(&*stream).set_send_buffer_size(bytes);
        }
        self.marks.written.store(false, Ordering::Relaxed);
    }

    fn has_written(&self) -> bool {
        self.marks.written.load(Ordering::Relaxed)
    }
}
