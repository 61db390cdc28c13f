//! Enforcement of prepaid token budgets across the instances of a fleet.
//!
//! The [`Ledger`] of a budget is kept in the platform's store. An instance spends only from
//! grants that the ledger lists it as the holder of. Its [`Holder`] requests grants ahead of
//! need, transfers tokens to peers and writes the bills to the ledger. A [`RecordKeeper`] keeps
//! the records of other instances' runs; they show what a holder may have spent when it stops
//! responding.

pub mod effect;
pub mod entry;
pub mod errors;
pub mod grant;
pub mod grant_request;
pub mod holder;
pub mod ledger;
pub mod op;
pub mod options;
pub mod policy;
pub mod records;

pub use effect::{DrawPlan, HolderEffect};
pub use entry::Entry;
pub use errors::{Error, Result};
pub use grant::Grant;
pub use holder::Holder;
pub use ledger::Ledger;
pub use op::LedgerOp;
pub use options::BudgetOptions;
pub use policy::{GrantPolicy, PolicyKind};
pub use records::RecordKeeper;
