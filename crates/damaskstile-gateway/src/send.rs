//! Target selection for a send, with its bookkeeping.

use damaskstile_core::prelude::*;
use damaskstile_targets::Choice;

use crate::gateway::Gateway;
use crate::outbound_call::OutboundCall;
use crate::record::Record;
use crate::reservation::Reservation;

/// Chooses a target for a call, excluding those in `tried`, and records the choice in the call's
/// state. From here on the call counts as possibly executed. Returns `None` if no other target is
/// available.
pub(crate) fn choose(
    gateway: &Gateway,
    service: &str,
    call: &OutboundCall,
    tried: &mut Vec<TargetId>,
    record: &mut Record,
    reservation: &mut Reservation,
) -> Option<Choice> {
    let now = gateway.now();
    let choice = gateway
        .state()
        .target_table
        .choose(now, service, &call.work, tried)?;
    tried.push(choice.target.clone());
    record.note_choice(&choice);
    reservation.sending();
    Some(choice)
}
