//! Helpers that start the daemon's named threads.

use std::future::Future;
use std::thread::JoinHandle;

use anyhow::Context;

/// Starts a named thread.
///
/// # Errors
///
/// Returns an error if the system cannot start the thread.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> anyhow::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(work)
        .with_context(|| format!("cannot start thread `{name}`"))
}

/// Starts a named thread that runs a future on a single-threaded runtime of its own.
///
/// # Errors
///
/// Returns an error if the runtime or the thread cannot be started.
pub fn spawn_async<F>(name: &str, work: F) -> anyhow::Result<JoinHandle<()>>
where
    F: Future<Output = ()> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    spawn(name, move || runtime.block_on(work))
}
