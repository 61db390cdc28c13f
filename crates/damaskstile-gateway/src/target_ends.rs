//! `target_ends` finds out whether a target has ended, once a call to it broke.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use damaskstile_core::prelude::*;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::timeout;

/// Longest wait for an answer to a connection: many round trips within a region. Whoever waits
/// for it has a call to send again.
const LOOK_LIMIT: Duration = Duration::from_millis(100);
/// Time for which what was found holds. All calls at a target that ends break within milliseconds,
/// and a target that starts again may take connections a second later.
const FOUND_FOR: Duration = Duration::from_millis(300);

/// `TargetState` is what became of a target at which a call broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It takes connections: only the call broke.
    Lives,
    /// Nothing takes connections at its address.
    Ended,
    /// Nobody answers: it may have lost power, or a link is cut.
    Unknown,
}

impl TargetState {
    /// Returns the word for it in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lives => "lives",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// `TargetEnds` finds out whether targets have ended. Calls that break together look once.
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
    /// Finds out whether an incarnation of a target, at which a call broke just now, has ended.
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

/// Asks for a connection and gives it up at once.
async fn connect(address: SocketAddr) -> TargetState {
    match timeout(LOOK_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => TargetState::Lives,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            TargetState::Ended
        }
        Ok(Err(_)) | Err(_) => TargetState::Unknown,
    }
}
