//! Batches of ledger changes being written to the store.

use damaskstile_core::prelude::*;

use crate::ledger::Ledger;
use crate::op::LedgerOp;

/// Batch of ledger changes being written to the store. Its number and changes are fixed, so that a
/// repeated write is recognised.
#[derive(Debug)]
pub struct Batch {
    pub number: u64,
    pub ops: Vec<LedgerOp>,
    /// Whether a call to the store is in flight.
    pub is_in_flight: bool,
    /// Ledger with the batch applied, while its write is in flight.
    pub candidate: Option<Ledger>,
    /// Runs whose entries the candidate refused.
    pub refused: Vec<RunId>,
    /// Grants that the seals in the batch apply to, by holder.
    pub sealing: BTreeMap<(InstanceId, Incarnation), BTreeSet<GrantId>>,
}

impl Batch {
    /// Records which grants of the ledger the seals in the batch apply to.
    ///
    /// Must be called before the batch is applied: the seal closes a grant of which nothing is
    /// left, and the grant is not in the ledger afterwards. The witness would not remember it and
    /// would accept records from a holder that resumes late and spends from the grant again.
    pub fn note_sealing(&mut self, ledger: &Ledger, identity: &Identity) {
        for op in &self.ops {
            let LedgerOp::Seal {
                holder,
                incarnation,
                ..
            } = op
            else {
                continue;
            };
            let closing = ledger
                .grants
                .iter()
                .filter(|(_, grant)| &grant.holder == holder && grant.incarnation == *incarnation)
                .filter(|(_, grant)| grant.is_witnessed_by(identity))
                .map(|(id, _)| id.clone());
            self.sealing
                .entry((holder.clone(), *incarnation))
                .or_default()
                .extend(closing);
        }
    }
}
