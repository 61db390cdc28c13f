//! Interface to the header conventions of callers and targets.

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
}
