//! Binds a stream that its caller takes up again to the version of software that began it.

use damaskstile_core::prelude::*;

use super::Exchange;
use crate::origin_source::OriginSource;
use crate::reply::{RETRY_SOON, Refusal};

impl Exchange {
    /// Binds the call to the version that began its stream, if it takes one up. Returns the refusal
    /// of a call whose stream no instance knows: at a guessed version it would join the output of
    /// two.
    pub(super) async fn bind_to_origin(&mut self) -> Option<Refusal> {
        let kind = self.terms.route.kind;
        if !kind.is_stream() || !kind.is_repeatable() || self.last_event.is_none() {
            return None;
        }
        let finding = self
            .gateway
            .find_origin(&self.terms, self.resumes.as_deref());
        // Boxed, since few calls take up a stream.
        let (origin, source) = Box::pin(finding).await;
        self.record.add("origin", source.as_str());
        self.gateway.metrics.paths.taken_up(source.as_str());
        let Some(origin) = origin else {
            // Where every peer has answered, none will know it later either.
            let wait = (source == OriginSource::Unanswered).then_some(RETRY_SOON);
            return Some(Refusal::not_run(RefusalCode::UnknownStream, wait));
        };
        self.record.add("origin_software", &origin.version);
        if origin.service != self.terms.service {
            let mut shares = self.terms.route.shares.iter();
            if shares.any(|share| share.service == origin.service) {
                self.terms.service = origin.service;
            } else {
                // The route has moved to another service since.
                return None;
            }
        }
        self.call.work.software_version = Some(origin.version);
        None
    }
}
