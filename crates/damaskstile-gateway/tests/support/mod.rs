//! Fixtures of the tests of a whole gateway: a dialect without headers, a store that is
//! unreachable, targets by name.

#![allow(dead_code)] // each test uses only some of the fixtures

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_escrow::EscrowOptions;
use damaskstile_gateway::admission::AdmissionOptions;
use damaskstile_gateway::answer::AnswerHead;
use damaskstile_gateway::call::{CallHead, SendHead};
use damaskstile_gateway::caller_resources::CallerLimits;
use damaskstile_gateway::cold_options::ColdOptions;
use damaskstile_gateway::copy_options::CopyOptions;
use damaskstile_gateway::dialect::Dialect;
use damaskstile_gateway::directory::Directory;
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::objects::{
    Change, Listing, ObjectStore, StoreError, StoreResult, StoredObject,
};
use damaskstile_gateway::options::GatewayOptions;
use damaskstile_gateway::rotation_options::RotationOptions;
use damaskstile_gateway::state::Terms;
use damaskstile_routes::{Catalogue, Route, RouteKind};
use damaskstile_targets::{Choice, Listed, TargetTableOptions, Work};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, request, response};
use slog::{Discard, Logger, o};

pub const SERVICE: &str = "model";

/// A dialect that reads and adds no headers.
struct PlainDialect;

impl Dialect for PlainDialect {
    fn read_call(&self, _head: &request::Parts) -> CallHead {
        CallHead::default()
    }

    fn set_send_headers(&self, _headers: &mut HeaderMap, _send: &SendHead<'_>) {}

    fn read_answer(&self, _head: &response::Parts) -> AnswerHead {
        AnswerHead::default()
    }

    fn set_answer_headers(&self, _headers: &mut HeaderMap) {}

    fn own_answer_headers(&self, _id: Option<&str>) -> HeaderMap {
        HeaderMap::new()
    }
}

/// A directory in which every entry is a target that is ready.
struct AllReady;

impl Directory for AllReady {
    fn catalogue_kind(&self) -> &'static str {
        "catalogues"
    }

    fn targets_kind(&self) -> &'static str {
        "targets"
    }

    fn evacuated_kind(&self) -> &'static str {
        "emptied"
    }

    fn evacuated(&self, name: &str) -> Result<DataCentreId, String> {
        Ok(name.to_owned())
    }

    fn catalogue(&self, _object: &StoredObject) -> Result<Option<Catalogue>, String> {
        Ok(None)
    }

    fn target(&self, object: &StoredObject) -> Result<Listed, String> {
        Ok(listed(&object.name, unused_address()))
    }
}

/// A store that is unreachable.
#[derive(Debug)]
pub struct UnreachableStore;

impl ObjectStore for UnreachableStore {
    fn list<'a>(&'a self, _kind: &'a str) -> BoxFuture<'a, StoreResult<Listing>> {
        no_answer()
    }

    fn watch<'a>(
        &'a self,
        _kind: &'a str,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, StoreResult<(Vec<Change>, Version)>> {
        no_answer()
    }

    fn probe(&self) -> BoxFuture<'_, StoreResult<()>> {
        no_answer()
    }

    fn read<'a>(
        &'a self,
        _kind: &'a str,
        _name: &'a str,
    ) -> BoxFuture<'a, StoreResult<Option<StoredObject>>> {
        no_answer()
    }

    fn write<'a>(
        &'a self,
        _kind: &'a str,
        _name: &'a str,
        _expected_version: Version,
        _content: Bytes,
    ) -> BoxFuture<'a, StoreResult<Version>> {
        no_answer()
    }
}

/// The answer of a store that is unreachable.
pub fn no_answer<T: Send + 'static>() -> BoxFuture<'static, StoreResult<T>> {
    async { Err(StoreError::NotDone("no store".to_owned())) }.boxed()
}

pub fn unused_address() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn gateway(peers_address: SocketAddr, store: Arc<dyn ObjectStore>) -> Arc<Gateway> {
    let options = GatewayOptions {
        identity: Identity::new("i0", 1, "north"),
        capacity_percent: 12,
        link_bytes_per_s: 1_250_000,
        callers_address: unused_address(),
        readiness_address: unused_address(),
        metrics_address: unused_address(),
        peers_address,
        seeds: Vec::new(),
        is_first_start: false,
        stop_limit: Duration::from_secs(8),
        retry_percent: 20,
        extra_retries_per_s: 5,
        escrow: EscrowOptions::default(),
        target_table: TargetTableOptions::default(),
        rotation: RotationOptions::default(),
        cold: ColdOptions::default(),
        admission: AdmissionOptions::default(),
        copies: CopyOptions::default(),
        callers: CallerLimits::default(),
    };
    let log = Logger::root(Discard, o!());
    Gateway::new(
        options,
        Box::new(PlainDialect),
        Box::new(AllReady),
        store,
        log,
    )
    .0
}

pub fn listed(name: &str, address: SocketAddr) -> Listed {
    Listed {
        target: name.to_owned(),
        incarnation: None,
        service: SERVICE.to_owned(),
        address,
        data_centre: "north".to_owned(),
        slots_requests: 64,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

/// Returns the terms of a call that may run once, with a time limit.
pub fn terms(limit: Duration) -> Terms {
    let route = Route {
        name: "r".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::NonIdempotent,
        shares: Vec::new(),
        timeout: limit,
        objective: limit,
        pause_limit: None,
        priority: 0,
        attempts_max: 1,
        is_anonymous: true,
        home_regions: BTreeSet::new(),
    };
    Terms {
        catalogue: Arc::new(Catalogue::default()),
        catalogue_age: Duration::ZERO,
        route: Arc::new(route),
        service: SERVICE.to_owned(),
        account: None,
        home_regions: None,
        priority: 0,
        is_bulk: false,
    }
}

/// Returns the target that a call would get, other than those tried.
pub fn choose(gateway: &Gateway, tried: &[&str]) -> Option<Choice> {
    let now = gateway.now();
    let tried: Vec<TargetId> = tried.iter().map(|target| (*target).to_owned()).collect();
    let table = &gateway.state().target_table;
    table.choose(now, SERVICE, &Work::default(), &tried)
}
