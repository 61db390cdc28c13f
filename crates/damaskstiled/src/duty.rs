//! `duty` starts the threads of the daemon.

use std::future::Future;
use std::thread::JoinHandle;

use anyhow::Context;

/// Starts a thread for a duty.
pub fn start(name: &str, work: impl FnOnce() + Send + 'static) -> anyhow::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(work)
        .with_context(|| format!("cannot start the thread {name}"))
}

/// Starts a thread for a duty that does input and output.
pub fn start_async<F>(name: &str, work: F) -> anyhow::Result<JoinHandle<()>>
where
    F: Future<Output = ()> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    start(name, move || runtime.block_on(work))
}
