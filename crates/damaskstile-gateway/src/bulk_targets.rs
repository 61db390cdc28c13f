//! Decides several times a second which targets take bulk prompts.

use damaskstile_core::prelude::*;

use crate::gateway::Gateway;

/// Decides anew which targets take bulk prompts, and announces a risen load to peers.
pub(crate) fn update(gateway: &Gateway) {
    let now = gateway.now();
    let (update, announces, waiting) = {
        let mut guard = gateway.state();
        let state = &mut *guard;
        let update = state.target_table.update_bulk_targets(now);
        // A digest to many peers would add to the overload.
        let announces = update.has_risen && !state.pressure.is_overloaded(now);
        state.has_bulk_load_risen |= announces;
        let table = &state.target_table;
        let queues = &mut state.prompt_queues;
        queues.set_limits(now, |service| table.bulk_limit(service));
        (update, announces, queues.waiting())
    };
    gateway.metrics.bulk.set_queued(waiting);
    if announces {
        gateway.gossip_wanted.notify_one();
    }
    for (service, before, count) in update.changes {
        gateway.metrics.bulk.set_targets(&service, count);
        let (before, count) = (before.to_string(), count.to_string());
        let fields = [
            ("service", service.as_str()),
            ("targets", count.as_str()),
            ("before", before.as_str()),
        ];
        gateway.log(EventCode::BulkTargetsChanged, &fields);
    }
}
