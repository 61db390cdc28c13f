//! Checks whether a target has ended after a call to it broke.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use damaskstile_core::prelude::*;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::timeout;

/// Connect time-out: many round trips within a region. The retry of a call waits for the result.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a result is reused. When a target ends, all its calls break within milliseconds;
/// a target that restarts may accept connections a second later.
const RESULT_LIFETIME: Duration = Duration::from_millis(300);

/// State of a target after a call to it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetLiveness {
    /// The target accepts connections: only the call broke.
    Alive,
    /// The target's address refuses connections.
    Ended,
    /// The target's address refuses this instance's connections and accepts those of a peer.
    Unreached,
    /// No reply: the target may have lost power, or a link is down.
    Unknown,
}

impl TargetLiveness {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "lives",
            Self::Ended => "ended",
            Self::Unreached => "unreached",
            Self::Unknown => "unknown",
        }
    }
}

/// Result of a check of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndCheck {
    /// State of the target.
    pub state: TargetLiveness,
    /// Whether the check began earlier, for another call.
    pub is_reused: bool,
}

/// Checks whether targets have ended. Calls that break at the same time share one check.
#[derive(Debug, Default)]
pub struct TargetEndChecks {
    checks: Mutex<BTreeMap<TargetIdentity, Check>>,
}

#[derive(Debug, Clone)]
struct Check {
    at: Duration,
    found: Arc<OnceCell<TargetLiveness>>,
}

impl TargetEndChecks {
    /// Checks whether an incarnation of a target, at which a call has just broken, has ended.
    pub async fn check(
        &self,
        now: Duration,
        target: &TargetIdentity,
        address: SocketAddr,
    ) -> EndCheck {
        self.check_by(now, target, connect(address)).await
    }

    /// Checks by `probe` whether an incarnation of a target has ended.
    pub async fn check_by(
        &self,
        now: Duration,
        target: &TargetIdentity,
        probe: impl Future<Output = TargetLiveness>,
    ) -> EndCheck {
        let (found, is_reused) = self.check_of(now, target);
        let state = *found.get_or_init(|| probe).await;
        EndCheck { state, is_reused }
    }

    fn check_of(
        &self,
        now: Duration,
        target: &TargetIdentity,
    ) -> (Arc<OnceCell<TargetLiveness>>, bool) {
        let mut checks = self.checks.lock().unwrap_or_else(PoisonError::into_inner);
        checks.retain(|_, check| now.saturating_sub(check.at) < RESULT_LIFETIME);
        let is_reused = checks.contains_key(target);
        let check = checks.entry(target.clone()).or_insert_with(|| Check {
            at: now,
            found: Arc::default(),
        });
        (Arc::clone(&check.found), is_reused)
    }
}

/// Opens a connection and drops it at once.
pub(crate) async fn connect(address: SocketAddr) -> TargetLiveness {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => TargetLiveness::Alive,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            TargetLiveness::Ended
        }
        Ok(Err(_)) | Err(_) => TargetLiveness::Unknown,
    }
}
