//! `dialect` is the border to the headers that callers and targets speak.

use http::{HeaderMap, request, response};

use crate::answer::AnswerHead;
use crate::call::{CallHead, SendHead};

/// `Dialect` translates between headers and the project's own words.
pub trait Dialect: Send + Sync {
    /// Reads what a caller asks for.
    fn read_call(&self, head: &request::Parts) -> CallHead;

    /// Turns a caller's headers into those for a target.
    fn dress_send(&self, headers: &mut HeaderMap, send: &SendHead<'_>);

    /// Reads what a target says of an answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Turns a target's headers into those for the caller.
    fn dress_answer(&self, headers: &mut HeaderMap);

    /// Makes the headers of an answer of this instance's own.
    fn own_answer(&self, id: Option<&str>) -> HeaderMap;
}
