//! Finds the version of software that began a stream which a caller takes up again.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_requests::{OriginLookup, StreamOrigin};
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::origin_source::OriginSource;
use crate::outgoing::Outgoing;
use crate::peers::StreamQuery;
use crate::state::Terms;

/// Time after which an unanswered query is sent once more: some round trips within a region.
const RESEND_AFTER: Duration = Duration::from_millis(60);
/// Longest search. A peer that is alive answers within a round trip, or a little later while it is
/// busy with the callers of instances that ended.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Factor from a route's time-out to the shortest time for which its streams are remembered: each
/// attempt may last as long as the route allows.
const LIFETIME_FACTOR: u32 = 2;
/// Longest time for which callers take up a stream. Their deadlines may exceed the time-outs of
/// routes, which configurations change, so no time-out bounds when a stream without a record began.
const TAKE_UP_SPAN: Duration = Duration::from_mins(10);

/// Removes a search when its call no longer waits for it.
struct OpenLookup<'a> {
    gateway: &'a Gateway,
    number: u64,
}

impl Drop for OpenLookup<'_> {
    fn drop(&mut self) {
        self.gateway.state().origin_lookups.remove(&self.number);
    }
}

impl Gateway {
    /// Records at which version of software a stream began, by the ids of the attempts by which its
    /// caller may name it.
    pub(crate) fn note_stream_begun<'a>(
        &self,
        terms: &Terms,
        version: &str,
        ids: impl Iterator<Item = &'a str>,
    ) {
        let now = self.now();
        let lifetime = terms.route.timeout * LIFETIME_FACTOR;
        let account = terms.account.as_deref().unwrap_or_default();
        let mut state = self.state();
        let is_first = !state.stream_origins.has_unreported();
        for id in ids {
            let origin = StreamOrigin {
                service: terms.service.clone(),
                version: version.to_owned(),
            };
            let key = StreamOrigin::key(account, id);
            state.stream_origins.note_begun(now, key, origin, lifetime);
        }
        // The task that reports streams gathers those that follow the first one.
        let table = &state.target_table;
        if is_first || table.has_other_version(&terms.service, version) {
            self.streams_begun.notify_one();
        }
    }

    /// Wakes the task that reports streams, after the list of targets has changed or a stop has
    /// begun: where a service has a second version, its streams are reported sooner.
    pub(crate) fn report_streams_soon(&self) {
        if self.state().stream_origins.has_unreported() {
            self.streams_begun.notify_one();
        }
    }

    /// Finds where a stream began that a caller takes up, by the id of the attempt that brought its
    /// first event.
    pub(crate) async fn find_origin(
        &self,
        terms: &Terms,
        id: Option<&str>,
    ) -> (Option<StreamOrigin>, OriginSource) {
        let now = self.now();
        let account = terms.account.as_deref().unwrap_or_default();
        let key = id.map(|id| StreamOrigin::key(account, id));
        let span = TAKE_UP_SPAN;
        let (known, asked) = {
            let state = self.state();
            let known = state.known_origin(now, key, &terms.service, span);
            (
                known,
                state.stream_keepers_to_ask(now, key.unwrap_or_default()),
            )
        };
        if known.origin.is_some() {
            return (known.origin, OriginSource::Own);
        }
        let lookup = OriginLookup::new(&terms.service, known, asked.len());
        let open = self.open_lookup(lookup);
        let query = StreamQuery {
            number: open.number,
            key,
            service: terms.service.clone(),
            span_ms: unix_ms(span),
        };
        let ask = || {
            for address in &asked {
                // A query dropped because the queue is full is treated like a lost datagram.
                let query = Outgoing::StreamQuery(*address, query.clone());
                let _ = self.outbox.try_send(query);
            }
        };
        ask();
        self.wait_for_origin(&open, now, ask).await
    }

    fn open_lookup(&self, lookup: OriginLookup) -> OpenLookup<'_> {
        let mut state = self.state();
        let number = state.next_lookup;
        state.next_lookup += 1;
        state.origin_lookups.insert(number, lookup);
        OpenLookup {
            gateway: self,
            number,
        }
    }

    async fn wait_for_origin(
        &self,
        open: &OpenLookup<'_>,
        began_at: Duration,
        ask: impl Fn(),
    ) -> (Option<StreamOrigin>, OriginSource) {
        let until = began_at + SEARCH_TIMEOUT;
        let mut again_at = Some(began_at + RESEND_AFTER);
        loop {
            let answered = self.stream_answers.notified();
            let now = self.now();
            let is_final = now >= until;
            let (found, is_answered) = {
                let state = self.state();
                let lookup = state.origin_lookups.get(&open.number);
                let found = lookup.and_then(|lookup| lookup.origin(is_final));
                (found, lookup.is_none_or(OriginLookup::is_answered))
            };
            if found.is_some() {
                return (found, OriginSource::Peers);
            }
            if is_answered {
                return (None, OriginSource::Unknown);
            }
            if is_final {
                return (None, OriginSource::Unanswered);
            }
            if again_at.is_some_and(|at| now >= at) {
                again_at = None;
                ask();
            }
            let next = again_at.map_or(until, |at| at.min(until));
            // Woken by an answer, at the latest at the next time limit.
            let _ = timeout(next.saturating_sub(now), answered).await;
        }
    }
}
