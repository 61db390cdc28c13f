//! Stand-in for the platform: versioned objects, watches and a target list that can lag.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use damaskstile_core::prelude::{Object, TargetInfo};
use dropshot::{
    ApiDescription, HttpError, Path, Query, RequestContext, TypedBody, UntypedBody, endpoint,
};
use http::StatusCode;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{HandlerResult, json};

/// Faults of the platform, which can be changed while it runs.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of each call of the object API and the target list, in milliseconds.
    pub delay_ms: u64,
    /// Whether these calls fail as unavailable.
    pub is_out: bool,
    /// Number of upcoming writes that take effect but are answered as unavailable.
    pub lose_answers: u64,
    /// Age of the target list, in milliseconds.
    pub list_lag_ms: u64,
    /// Delay between a change and the answers of watches, in milliseconds.
    pub watch_lag_ms: u64,
    /// Number of upcoming watches that are never answered.
    pub lose_watches: u64,
}

/// Number of calls since the start, by kind.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Reads of objects, lists of objects and lists of targets.
    pub reads: u64,
    /// Writes, conflicts included.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Writes rejected because the expected version was not the current one.
    pub conflicts: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Object>,
    revision: u64,
    targets: BTreeMap<String, TargetInfo>,
    /// History of the target list, oldest first, for serving it with a lag.
    target_list_history: Vec<(Instant, Vec<TargetInfo>)>,
    faults: Faults,
    counts: Counts,
}

/// State of the stand-in, shared by its request handlers.
#[derive(Debug, Default)]
pub struct Platform {
    state: Mutex<State>,
    changed: Notify,
}

impl Platform {
    /// Creates a platform without objects or targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn apply_call_faults(&self) -> Result<(), HttpError> {
        let faults = self.state().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if self.state().faults.is_out {
            return Err(HttpError::for_unavail(None, "outage".to_owned()));
        }
        Ok(())
    }

    /// Counts a watch call and returns whether it is to remain unanswered.
    fn count_watch(&self) -> bool {
        let mut state = self.state();
        state.counts.watches += 1;
        let is_lost = state.faults.lose_watches > 0;
        state.faults.lose_watches = state.faults.lose_watches.saturating_sub(1);
        is_lost
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct KeyPath {
    key: Vec<String>,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct WriteQuery {
    expected_version: u64,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct WatchQuery {
    after_version: u64,
    wait_ms: u64,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ListQuery {
    prefix: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct NamePath {
    name: String,
}

/// Reads an object.
#[endpoint { method = GET, path = "/objects/{key:.*}", unpublished = true }]
async fn read_object(rqctx: RequestContext<Platform>, path: Path<KeyPath>) -> HandlerResult {
    let platform = rqctx.context();
    platform.apply_call_faults().await?;
    let key = path.into_inner().key.join("/");
    let found = {
        let mut state = platform.state();
        state.counts.reads += 1;
        state.objects.get(&key).cloned()
    };
    match found {
        Some(object) => json(StatusCode::OK, &object),
        None => json(StatusCode::NOT_FOUND, &"no such object"),
    }
}

/// Writes an object if its current version is the expected one; 0 expects no object.
#[endpoint { method = PUT, path = "/objects/{key:.*}", unpublished = true }]
async fn write_object(
    rqctx: RequestContext<Platform>,
    path: Path<KeyPath>,
    query: Query<WriteQuery>,
    body: UntypedBody,
) -> HandlerResult {
    let platform = rqctx.context();
    platform.apply_call_faults().await?;
    let key = path.into_inner().key.join("/");
    let expected = query.into_inner().expected_version;
    let value = body.as_str()?.to_owned();
    if value.len() > 1_000_000 {
        return json(StatusCode::PAYLOAD_TOO_LARGE, &"value above 1 MB");
    }
    let (is_lost, answer) = {
        let mut state = platform.state();
        state.counts.writes += 1;
        let current = state.objects.get(&key).cloned();
        let version = current.as_ref().map_or(0, |object| object.version);
        if version == expected {
            state.revision += 1;
            let version = state.revision;
            state.objects.insert(key.clone(), Object { version, value });
            let is_lost = state.faults.lose_answers > 0;
            state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
            (is_lost, Ok(version))
        } else {
            state.counts.conflicts += 1;
            (false, Err(current))
        }
    };
    platform.changed.notify_waiters();
    if is_lost {
        return Err(HttpError::for_unavail(None, "answer lost".to_owned()));
    }
    match answer {
        Ok(version) => json(
            StatusCode::OK,
            &serde_json::json!({"key": key, "version": version}),
        ),
        Err(current) => json(StatusCode::CONFLICT, &current),
    }
}

/// Waits for a newer version of an object; answers `null` after `wait_ms` without one.
#[endpoint { method = GET, path = "/watch/{key:.*}", unpublished = true }]
async fn watch_object(
    rqctx: RequestContext<Platform>,
    path: Path<KeyPath>,
    query: Query<WatchQuery>,
) -> HandlerResult {
    let platform = rqctx.context();
    platform.apply_call_faults().await?;
    let key = path.into_inner().key.join("/");
    let query = query.into_inner();
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    if platform.count_watch() {
        std::future::pending::<()>().await;
    }
    loop {
        let changed = platform.changed.notified();
        let (newer, lag_ms) = {
            let state = platform.state();
            let object = state.objects.get(&key);
            let newer = object.filter(|object| object.version > query.after_version);
            (newer.cloned(), state.faults.watch_lag_ms)
        };
        if newer.is_some() {
            tokio::time::sleep(Duration::from_millis(lag_ms)).await;
            platform.apply_call_faults().await?;
            return json(StatusCode::OK, &newer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return json(StatusCode::OK, &None::<Object>);
        }
        let _ = tokio::time::timeout(left, changed).await;
    }
}

/// Lists the keys and versions of the objects whose keys start with a prefix.
#[endpoint { method = GET, path = "/list" }]
async fn list_objects(rqctx: RequestContext<Platform>, query: Query<ListQuery>) -> HandlerResult {
    let platform = rqctx.context();
    platform.apply_call_faults().await?;
    let prefix = query.into_inner().prefix;
    let keys: Vec<serde_json::Value> = {
        let mut state = platform.state();
        state.counts.reads += 1;
        state
            .objects
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .map(|(key, object)| serde_json::json!({"key": key, "version": object.version}))
            .collect()
    };
    json(StatusCode::OK, &keys)
}

/// Lists the targets as of `list_lag_ms` ago.
#[endpoint { method = GET, path = "/targets" }]
async fn list_targets(rqctx: RequestContext<Platform>) -> HandlerResult {
    let platform = rqctx.context();
    platform.apply_call_faults().await?;
    let list = {
        let mut state = platform.state();
        state.counts.reads += 1;
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        state
            .target_list_history
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    };
    json(StatusCode::OK, &list)
}

/// Adds a target to the list or replaces its entry.
#[endpoint { method = PUT, path = "/targets/{name}" }]
async fn put_target(
    rqctx: RequestContext<Platform>,
    path: Path<NamePath>,
    body: UntypedBody,
) -> HandlerResult {
    let info: TargetInfo = serde_json::from_str(body.as_str()?)
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))?;
    let mut state = rqctx.context().state();
    state.targets.insert(path.into_inner().name, info);
    record_target_list(&mut state);
    json(StatusCode::OK, &"put")
}

/// Removes a target from the list.
#[endpoint { method = DELETE, path = "/targets/{name}" }]
async fn delete_target(rqctx: RequestContext<Platform>, path: Path<NamePath>) -> HandlerResult {
    let mut state = rqctx.context().state();
    state.targets.remove(&path.into_inner().name);
    record_target_list(&mut state);
    json(StatusCode::OK, &"deleted")
}

fn record_target_list(state: &mut State) {
    let list = state.targets.values().cloned().collect();
    state.target_list_history.push((Instant::now(), list));
}

/// Replaces the faults.
#[endpoint { method = PUT, path = "/faults" }]
async fn put_faults(rqctx: RequestContext<Platform>, body: TypedBody<Faults>) -> HandlerResult {
    rqctx.context().state().faults = body.into_inner();
    json(StatusCode::OK, &"set")
}

/// Returns the number of calls since the start, by kind.
#[endpoint { method = GET, path = "/counts" }]
async fn get_counts(rqctx: RequestContext<Platform>) -> HandlerResult {
    let counts = rqctx.context().state().counts.clone();
    json(StatusCode::OK, &counts)
}

/// Builds the API of the stand-in.
///
/// # Errors
///
/// Returns an error if two endpoints conflict.
pub fn api() -> anyhow::Result<ApiDescription<Platform>> {
    let mut api = ApiDescription::new();
    api.register(read_object)?;
    api.register(write_object)?;
    api.register(watch_object)?;
    api.register(list_objects)?;
    api.register(list_targets)?;
    api.register(put_target)?;
    api.register(delete_target)?;
    api.register(put_faults)?;
    api.register(get_counts)?;
    Ok(api)
}
