//! Reports from peers to be written to the ledger, and receipts for this instance's own reports.

use damaskstile_core::prelude::*;
use damaskstile_escrow::{Receipt, Report};

use super::Peers;
use crate::outgoing::Outgoing;

/// Maximum number of forwards of a report: enough for an instance that knows only a seed, and a
/// bound on forwarding when two instances each take the other for the writer.
const HOPS_MAX: u32 = 2;

impl Peers {
    /// Accepts a peer's report, to be written with the next round, or forwards it to the writer.
    pub(super) fn handle_report(&self, mut report: Report) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let is_urgent = report.is_urgent();
        let sender = report.address.parse();
        let mut state = gateway.state();
        let writer = state.writer(now).map(|(_, address)| address);
        if let Some(writer) = writer {
            // The sender does not know the best writer yet, nor does the writer know the sender.
            drop(state);
            report.hops += 1;
            if report.hops <= HOPS_MAX {
                let _ = gateway.outbox.try_send(Outgoing::Report(writer, report));
            }
            return;
        }
        state
            .fleet_clock
            .record_reading(now, &report.instance, report.stamp.unix_ms);
        let receipt = state.holder.accept_report(now, report);
        drop(state);
        if let (Some(receipt), Ok(sender)) = (receipt, sender) {
            // If the queue is full the receipt is dropped, and the reporting instance asks again.
            let _ = gateway.outbox.try_send(Outgoing::Receipt(sender, receipt));
        } else if is_urgent {
            gateway.round_wanted.notify_one();
        }
    }

    /// Processes a receipt for this instance's own report.
    pub(super) fn handle_receipt(&self, from: &str, receipt: &Receipt) {
        let gateway = &self.gateway;
        let now = gateway.now();
        if !gateway.state().holder.accept_receipt(now, receipt) {
            return;
        }
        gateway.round_done.notify_waiters();
        let (number, version) = (receipt.number.to_string(), receipt.version.to_string());
        let fields = [
            ("round", number.as_str()),
            ("version", version.as_str()),
            ("writer", from),
        ];
        gateway.log(EventCode::ReportEntered, &fields);
    }
}
