//! Stand-ins for the platform and the targets, for tests and the demo. Not part of the product.
//!
//! They are small HTTP servers whose faults can be changed over HTTP while they run.

pub mod platform;
pub mod target;

use dropshot::{
    Body, ConfigDropshot, ConfigLogging, ConfigLoggingLevel, HttpError, HttpServerStarter,
};
use http::{Response, StatusCode};
use serde::Serialize;

/// Starts a server on an address; port 0 selects any free port.
///
/// # Errors
///
/// Returns an error if the address is invalid or cannot be bound.
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

/// Result of a stand-in's request handler.
pub(crate) type HandlerResult = Result<Response<Body>, HttpError>;

/// Creates a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let text = serde_json::to_string(value)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::from(text))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
