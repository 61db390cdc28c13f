//! Shows operators which targets are slow compared with the others of their services.

use damaskstile_core::prelude::*;

use crate::gateway::Gateway;
use crate::target_list::incarnation_text;

/// Logs the targets that became slow since the previous call, or no longer are.
pub(crate) fn log_changes(gateway: &Gateway) {
    let now = gateway.now();
    let changes = gateway.state().target_table.take_speed_changes(now);
    for change in changes {
        let incarnation = incarnation_text(change.identity.incarnation);
        let percent = change.factor_percent.to_string();
        let fields = [
            ("target", change.identity.target.as_str()),
            ("incarnation", incarnation.as_str()),
            ("speed", percent.as_str()),
            ("slow", if change.is_slow { "true" } else { "false" }),
        ];
        gateway.log(EventCode::TargetSpeedChanged, &fields);
    }
}
