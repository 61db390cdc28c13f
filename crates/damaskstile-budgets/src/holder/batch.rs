//! `batch` holds changes on their way to the store.

use damaskstile_core::prelude::*;

use crate::ledger::Ledger;
use crate::op::LedgerOp;

/// `Batch` is a set of changes on its way to the store. Its content never changes.
#[derive(Debug)]
pub struct Batch {
    pub number: u64,
    pub ops: Vec<LedgerOp>,
    /// Whether a call to the store is out.
    pub is_called: bool,
    /// Ledger with the batch applied, while its write is out.
    pub candidate: Option<Ledger>,
    pub refused: Vec<RunId>,
    /// Grants that the seals in the batch close, by holder.
    pub sealing: BTreeMap<(InstanceId, Incarnation), BTreeSet<GrantId>>,
}

impl Batch {
    /// Notes which grants its seals close in a ledger.
    ///
    /// It must be asked before the batch is applied: a grant of which nothing is left is closed
    /// by the seal and is not in the ledger afterwards. Its witness would not remember it, and
    /// would accept the records of a holder that wakes up late and spends it again.
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
