//! `send` chooses a target for a call and notes what follows from it.

use damaskstile_core::prelude::*;
use damaskstile_targets::Choice;

use crate::gateway::Gateway;
use crate::record::Record;
use crate::reservation::Reservation;
use crate::sendable::Sendable;

/// Chooses a target for a call, other than those tried, and notes it in all that the call has:
/// from here on it may run. `None` where there is no other target.
pub(crate) fn choose(
    gateway: &Gateway,
    service: &str,
    call: &Sendable,
    tried: &mut Vec<TargetId>,
    record: &mut Record,
    reservation: &mut Reservation,
) -> Option<Choice> {
    let now = gateway.now();
    let choice = gateway
        .state()
        .book
        .choose(now, service, &call.work, tried)?;
    tried.push(choice.target.clone());
    record.note_choice(&choice);
    reservation.sending();
    Some(choice)
}
