//! Checks whether a target has ended after a call to it broke.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use damaskstile_core::prelude::*;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::timeout;

/// Connect time-out: many round trips within a region. The retry of a call waits for the result.
const LOOK_LIMIT: Duration = Duration::from_millis(100);
/// Time for which a result is reused. When a target ends, all its calls break within milliseconds;
/// a target that restarts may accept connections a second later.
const FOUND_FOR: Duration = Duration::from_millis(300);

/// State of a target after a call to it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts connections: only the call broke.
    Lives,
    /// The target's address refuses connections.
    Ended,
    /// No reply: the target may have lost power, or a link is down.
    Unknown,
}

impl TargetState {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lives => "lives",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// Checks whether targets have ended. Calls that break at the same time share one check.
#[derive(Debug, Default)]
pub struct TargetEnds {
    looks: Mutex<BTreeMap<TargetIdentity, Look>>,
}

#[derive(Debug, Clone)]
struct Look {
    at: Duration,
    found: Arc<OnceCell<TargetState>>,
}

impl TargetEnds {
    /// Checks whether an incarnation of a target, at which a call has just broken, has ended.
    pub async fn look(
        &self,
        now: Duration,
        target: &TargetIdentity,
        address: SocketAddr,
    ) -> TargetState {
        let found = self.look_of(now, target);
        *found.get_or_init(|| connect(address)).await
    }

    fn look_of(&self, now: Duration, target: &TargetIdentity) -> Arc<OnceCell<TargetState>> {
        let mut looks = self.looks.lock().unwrap_or_else(PoisonError::into_inner);
        looks.retain(|_, look| now.saturating_sub(look.at) < FOUND_FOR);
        let look = looks.entry(target.clone()).or_insert_with(|| Look {
            at: now,
            found: Arc::default(),
        });
        Arc::clone(&look.found)
    }
}

/// Opens a connection and drops it at once.
async fn connect(address: SocketAddr) -> TargetState {
    match timeout(LOOK_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => TargetState::Lives,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            TargetState::Ended
        }
        Ok(Err(_)) | Err(_) => TargetState::Unknown,
    }
}
