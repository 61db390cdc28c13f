//! `damaskstile-budgets` keeps client accounts within their prepaid budgets.
//!
//! A budget's [`Ledger`] stands in the platform's store. An instance spends only out of grants
//! that the ledger names it the holder of; its [`Holder`] asks for them ahead of need, hands
//! tokens to peers and stores the bills. A [`RecordKeeper`] holds the records of other
//! instances' runs, which are the evidence when one of them falls silent.

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
