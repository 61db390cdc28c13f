//! The store thread: object calls, the settings watch and the list of targets of the platform.

use std::sync::Arc;
use std::time::Duration;

use damaskstile::core::prelude::*;
use damaskstile::fleet::settings::SETTINGS_KEY;
use damaskstile_http::Platform;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::watch;

use crate::config::Config;
use crate::shared::SharedState;
use crate::threads;

/// Capacity of the queue to the store thread.
const STORE_QUEUE_SIZE: usize = 1024;
/// Time that the platform may hold one watch before it answers without a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Delay before a failed watch is repeated.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay between two reads of the list of targets.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// A message to the store thread.
#[derive(Debug)]
pub enum ToStore {
    /// Calls the store.
    Call {
        /// Id under which the answer is reported.
        call: CallId,
        /// Operation to perform.
        request: StoreCall,
    },
    /// Starts or stops watching the settings.
    Watch {
        /// Whether to watch from now on.
        is_watching: bool,
        /// Version that the instance already has.
        have_version: Version,
    },
}

/// Starts the thread and returns the queue to it.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn start(config: &Config, shared: Arc<SharedState>) -> anyhow::Result<Sender<ToStore>> {
    let (sender, receiver) = mpsc::channel(STORE_QUEUE_SIZE);
    let platform = Platform::new(&config.platform_address.to_string());
    threads::spawn_async("store", run(platform, shared, receiver))?;
    Ok(sender)
}

async fn run(platform: Platform, shared: Arc<SharedState>, mut calls: Receiver<ToStore>) {
    let (watch_sender, watch_receiver) = watch::channel((false, 0));
    let (outages, outages_ended) = watch::channel(0);
    tokio::spawn(watch_settings(
        platform.clone(),
        Arc::clone(&shared),
        watch_receiver,
        outages_ended,
    ));
    tokio::spawn(list_targets(platform.clone(), Arc::clone(&shared), outages));
    while let Some(message) = calls.recv().await {
        match message {
            ToStore::Call { call, request } => {
                let platform = platform.clone();
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    let answer = platform.call(request).await;
                    shared.submit(Event::Store { call, answer }).await;
                });
            }
            ToStore::Watch {
                is_watching,
                have_version,
            } => {
                let _ = watch_sender.send((is_watching, have_version));
            }
        }
    }
}

/// Watches the settings and reports each new version.
///
/// An outage may lose a watch without an answer, which shows only when the watch itself times out.
/// So the watch is sent again as soon as the platform answers reads of the list of targets again.
async fn watch_settings(
    platform: Platform,
    shared: Arc<SharedState>,
    mut watch_receiver: watch::Receiver<(bool, Version)>,
    mut outages_ended: watch::Receiver<u64>,
) {
    let mut seen_version = 0;
    loop {
        let (is_watching, have_version) = *watch_receiver.borrow_and_update();
        if !is_watching {
            if watch_receiver.changed().await.is_err() {
                return;
            }
            continue;
        }
        seen_version = seen_version.max(have_version);
        outages_ended.mark_unchanged();
        let waiting = platform.watch(SETTINGS_KEY, seen_version, WATCH_WAIT);
        let object = tokio::select! {
            object = waiting => object,
            _ = watch_receiver.changed() => continue,
            Ok(()) = outages_ended.changed() => continue,
        };
        match object {
            Ok(Some(object)) => {
                seen_version = seen_version.max(object.version);
                let key = SETTINGS_KEY.to_owned();
                shared.submit(Event::Changed { key, object }).await;
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(WATCH_RETRY_DELAY).await,
        }
    }
}

/// Polls the list of targets, reports changes, and counts the outages that have ended.
async fn list_targets(platform: Platform, shared: Arc<SharedState>, outages: watch::Sender<u64>) {
    let mut last = Vec::new();
    let mut is_failing = false;
    loop {
        let listed = platform.targets().await;
        if listed.is_ok() && is_failing {
            outages.send_modify(|count| *count += 1);
        }
        is_failing = listed.is_err();
        if let Ok(targets) = listed
            && targets != last
        {
            last.clone_from(&targets);
            shared.submit(Event::Targets { targets }).await;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}
