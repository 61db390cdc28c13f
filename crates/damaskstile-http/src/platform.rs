//! Client of the platform: its object store and its list of targets.

use std::time::Duration;

use damaskstile_core::prelude::*;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::client::{Call, Reply, send_and_collect};
use crate::errors::{Error, Result};
use crate::request_target::RequestTarget;

/// Time limit of a call, beyond the time that a watch may wait.
const CALL_LIMIT: Duration = Duration::from_millis(1500);

/// Key and version of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectKey {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: Version,
}

/// Client of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    address: String,
}

impl Platform {
    /// Creates a client for the platform at an address, given as IP and port.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
        }
    }

    /// Performs a store call of the instance.
    ///
    /// Any error is returned as `StoreAnswer::Lost`: the call may or may not have taken effect.
    pub async fn call(&self, call: StoreCall) -> StoreAnswer {
        let answer = match call {
            StoreCall::Read { key } => self.read(&key).await.map(StoreAnswer::Found),
            StoreCall::Write {
                key,
                expected_version,
                value,
            } => self.write(&key, expected_version, value).await,
        };
        answer.unwrap_or(StoreAnswer::Lost)
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the answer is unexpected.
    pub async fn read(&self, key: &str) -> Result<Option<Object>> {
        let reply = self.get(object(key), CALL_LIMIT).await?;
        match reply.status {
            StatusCode::OK => parse(&reply).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected(&reply)),
        }
    }

    /// Writes an object if its current version is the expected one.
    ///
    /// Returns `StoreAnswer::Conflict` if the version differs.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the answer is unexpected; the write may have taken
    /// effect.
    pub async fn write(&self, key: &str, expected: Version, value: String) -> Result<StoreAnswer> {
        let target = object(key).query("expected_version", expected);
        let call = Call::new(&self.address, Method::PUT, &target.to_string()).body(value);
        let reply = send_and_collect(call, CALL_LIMIT).await?;
        match reply.status {
            StatusCode::OK => {
                let written: ObjectKey = parse(&reply)?;
                Ok(StoreAnswer::Written {
                    version: written.version,
                })
            }
            StatusCode::CONFLICT => Ok(StoreAnswer::Conflict(parse(&reply)?)),
            _ => Err(unexpected(&reply)),
        }
    }

    /// Waits until an object has a version above the given one, or until `wait` has passed.
    ///
    /// Returns `None` if there was no newer version in this time.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the answer is unexpected.
    pub async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Object>> {
        let wait_ms = wait.as_millis();
        let target = RequestTarget::new("/watch")
            .segments(key)
            .query("after_version", after)
            .query("wait_ms", wait_ms);
        let reply = self.get(target, wait + CALL_LIMIT).await?;
        match reply.status {
            StatusCode::OK => parse(&reply),
            _ => Err(unexpected(&reply)),
        }
    }

    /// Lists the keys and versions of the objects whose keys begin with a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the answer is unexpected.
    pub async fn list(&self, prefix: &str) -> Result<Vec<ObjectKey>> {
        let target = RequestTarget::new("/list").query("prefix", prefix);
        let reply = self.get(target, CALL_LIMIT).await?;
        match reply.status {
            StatusCode::OK => parse(&reply),
            _ => Err(unexpected(&reply)),
        }
    }

    /// Reads the list of targets. The platform updates it with a delay.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the answer is unexpected.
    pub async fn targets(&self) -> Result<Vec<TargetInfo>> {
        let reply = self.get(RequestTarget::new("/targets"), CALL_LIMIT).await?;
        match reply.status {
            StatusCode::OK => parse(&reply),
            _ => Err(unexpected(&reply)),
        }
    }

    async fn get(&self, target: RequestTarget, limit: Duration) -> Result<Reply> {
        let call = Call::new(&self.address, Method::GET, &target.to_string());
        send_and_collect(call, limit).await
    }
}

fn object(key: &str) -> RequestTarget {
    RequestTarget::new("/objects").segments(key)
}

fn parse<T: for<'de> Deserialize<'de>>(reply: &Reply) -> Result<T> {
    serde_json::from_slice(&reply.body).map_err(|error| Error::Broken(error.to_string()))
}

fn unexpected(reply: &Reply) -> Error {
    Error::Unexpected {
        status: reply.status.as_u16(),
        body: reply.text(),
    }
}
