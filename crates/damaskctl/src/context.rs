//! `context` holds what all commands work with.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use damaskstile_http::{Call, Platform, send_whole};
use serde::Serialize;
use serde_json::Value;

use crate::exit::Failure;
use crate::table::Table;

/// Time that a call to an instance or a target may take.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// `Context` holds what all commands work with.
#[derive(Debug)]
pub struct Context {
    /// The platform.
    pub platform: Platform,
    /// Name that changes are signed with.
    pub author: String,
    is_json: bool,
}

impl Context {
    /// Makes the context.
    pub fn new(platform: &str, author: &str, is_json: bool) -> Self {
        Self {
            platform: Platform::new(platform),
            author: author.to_owned(),
            is_json,
        }
    }

    /// Prints a result, as a table or as JSON.
    pub fn print<T: Serialize>(&self, value: &T, table: &Table) -> Result<(), Failure> {
        if self.is_json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            print!("{table}");
        }
        Ok(())
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn unix_ms() -> u64 {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Reads a JSON value from an instance or a target.
pub async fn get_json(
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Value, Failure> {
    let mut call = Call::new(address, http::Method::GET, path);
    for (name, value) in headers {
        call = call.header(name, value);
    }
    let reply = send_whole(call, CALL_LIMIT).await?;
    if reply.status == http::StatusCode::NOT_FOUND {
        return Err(Failure::NotFound(reply.text()));
    }
    if !reply.status.is_success() {
        return Err(Failure::NoAnswer(format!(
            "status {}: {}",
            reply.status,
            reply.text()
        )));
    }
    Ok(serde_json::from_slice(&reply.body)?)
}

/// Sends a JSON value to a target.
pub async fn put_json(address: &str, path: &str, value: &Value) -> Result<(), Failure> {
    let call = Call::new(address, http::Method::PUT, path)
        .header("content-type", "application/json")
        .body(value.to_string());
    let reply = send_whole(call, CALL_LIMIT).await?;
    match reply.status.as_u16() {
        200..=299 => Ok(()),
        409 => Err(Failure::Conflict(reply.text())),
        status => Err(Failure::NoAnswer(format!(
            "status {status}: {}",
            reply.text()
        ))),
    }
}
