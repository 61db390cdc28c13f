//! State shared by all commands, and JSON requests to instances and targets.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use damaskstile_http::{Call, Platform, send_and_collect};
use serde::Serialize;
use serde_json::Value;

use crate::exit::Failure;
use crate::table::Table;

/// Timeout of a request to an instance or a target.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// State shared by all commands: the platform's client and the options common to them.
#[derive(Debug)]
pub struct Context {
    /// Client of the platform's API.
    pub platform: Platform,
    /// Name recorded as the author of changes.
    pub author: String,
    is_json: bool,
}

impl Context {
    /// Makes the context for a platform at the given address (IP and port).
    pub fn new(platform: &str, author: &str, is_json: bool) -> Self {
        Self {
            platform: Platform::new(platform),
            author: author.to_owned(),
            is_json,
        }
    }

    /// Prints `value` as JSON if `--json` was given, otherwise `table`.
    pub fn print<T: Serialize>(&self, value: &T, table: &Table) -> Result<(), Failure> {
        if self.is_json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            print!("{table}");
        }
        Ok(())
    }

    /// Prints `value` as JSON if `--json` was given, otherwise all tables.
    pub fn print_all<T: Serialize>(&self, value: &T, tables: &[Table]) -> Result<(), Failure> {
        if self.is_json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            let tables: Vec<String> = tables.iter().map(ToString::to_string).collect();
            print!("{}", tables.join("\n"));
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

/// Sends a GET request to an instance or a target and returns its JSON body.
///
/// # Errors
///
/// Returns [`Failure::NotFound`] for status 404, [`Failure::NoAnswer`] for any other status that is
/// not a success and if there is no answer within the timeout.
pub async fn get_json(
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Value, Failure> {
    let mut call = Call::new(address, http::Method::GET, path);
    for (name, value) in headers {
        call = call.header(name, value);
    }
    let reply = send_and_collect(call, CALL_TIMEOUT).await?;
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

/// Sends a JSON value to a target in a PUT request.
///
/// # Errors
///
/// Returns [`Failure::Conflict`] for status 409, [`Failure::NoAnswer`] for any other status that is
/// not a success and if there is no answer within the timeout.
pub async fn put_json(address: &str, path: &str, value: &Value) -> Result<(), Failure> {
    let call = Call::new(address, http::Method::PUT, path)
        .header("content-type", "application/json")
        .body(value.to_string());
    let reply = send_and_collect(call, CALL_TIMEOUT).await?;
    match reply.status.as_u16() {
        200..=299 => Ok(()),
        409 => Err(Failure::Conflict(reply.text())),
        status => Err(Failure::NoAnswer(format!(
            "status {status}: {}",
            reply.text()
        ))),
    }
}
