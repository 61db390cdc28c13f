//! Guard that counts an admitted stream as open and learns from it at its end.

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::admission::StreamTotals;
use crate::gateway::Gateway;
use crate::state::Terms;

/// Counts an admitted stream as open until it is dropped, and learns then what it took.
#[derive(Debug, Default)]
pub struct AdmittedStream {
    /// Gateway, route and time of admission; `None` for calls that are not streams.
    admitted: Option<(Arc<Gateway>, String, Duration)>,
    totals: StreamTotals,
}

impl AdmittedStream {
    /// Begins to count a call, if its answer is a stream.
    #[must_use]
    pub fn begin(gateway: &Arc<Gateway>, terms: &Terms) -> Self {
        if !terms.route.kind.is_stream() {
            return Self::default();
        }
        let route = terms.route.name.clone();
        let pause_limit = terms.route.class(terms.priority).pause_limit;
        let admission = &mut gateway.state().pressure.admission;
        admission.begin_stream(&route, pause_limit);
        Self {
            admitted: Some((Arc::clone(gateway), route, gateway.now())),
            totals: StreamTotals::default(),
        }
    }

    /// Counts an event that arrived from a target.
    pub fn note_event(&mut self, bytes: usize) {
        self.totals.events += 1;
        self.totals.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    }
}

impl Drop for AdmittedStream {
    fn drop(&mut self) {
        let Some((gateway, route, admitted_at)) = self.admitted.take() else {
            return;
        };
        let took = gateway.now().saturating_sub(admitted_at);
        let totals = StreamTotals {
            took,
            ..self.totals
        };
        let admission = &mut gateway.state().pressure.admission;
        admission.end_stream(&route, &totals);
    }
}
