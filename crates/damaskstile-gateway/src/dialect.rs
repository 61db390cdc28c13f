//! Interface to the header conventions of callers and targets.

use damaskstile_core::prelude::*;
use http::{HeaderMap, request, response};

use crate::answer::AnswerHead;
use crate::call::{CallHead, SendHead};

/// Translates between HTTP headers and this crate's types.
pub trait Dialect: Send + Sync {
    /// Parses the headers of a call.
    fn read_call(&self, head: &request::Parts) -> CallHead;

    /// Replaces a caller's headers by those to send to a target.
    fn set_send_headers(&self, headers: &mut HeaderMap, send: &SendHead<'_>);

    /// Parses the headers of a target's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Replaces a target's headers by those to send to the caller.
    fn set_answer_headers(&self, headers: &mut HeaderMap);

    /// Returns the headers of an answer that this instance makes itself.
    fn own_answer_headers(&self, id: Option<&str>) -> HeaderMap;

    /// Returns the path at which targets tell when they started; `None` if they do not.
    fn start_path(&self) -> Option<&'static str> {
        None
    }

    /// Parses the answer that a target gives there.
    fn read_start(&self, _body: &[u8]) -> Option<TargetIncarnation> {
        None
    }
}
