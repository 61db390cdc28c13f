//! `damaskstile-standins` stands in for the systems around the fleet, in tests and the demo.
//!
//! It is not part of the product: a small platform and a small target, with faults that are set
//! over HTTP while they run.

pub mod platform;
pub mod target;

use dropshot::{
    Body, ConfigDropshot, ConfigLogging, ConfigLoggingLevel, HttpError, HttpServerStarter,
};
use http::{Response, StatusCode};
use serde::Serialize;

/// Starts a server on an address; `:0` takes any free port.
///
/// # Errors
///
/// Returns an error where the address cannot be had.
pub fn serve<C: Send + Sync + 'static>(
    address: &str,
    api: dropshot::ApiDescription<C>,
    context: C,
) -> anyhow::Result<dropshot::HttpServer<C>> {
    let config = ConfigDropshot {
        bind_address: address.parse()?,
        default_request_body_max_bytes: 8 * 1024 * 1024,
        default_handler_task_mode: dropshot::HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let logging = ConfigLogging::StderrTerminal {
        level: ConfigLoggingLevel::Error,
    };
    let log = logging.to_logger("standin")?;
    let starter = HttpServerStarter::new(&config, api, context, &log)
        .map_err(|error| anyhow::anyhow!("cannot serve on {address}: {error}"))?;
    Ok(starter.start())
}

/// What the stand-ins' handlers give to the server.
pub(crate) type Answer = Result<Response<Body>, HttpError>;

/// Makes an answer of a JSON value.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_string(value)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::from(text))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
