//! Divides prepaid tokens among instances, so that each instance can spend its part without
//! coordination and all instances together never spend more than was bought.
//!
//! One stored [`Ledger`] records the tokens that are spent and what each instance may still spend.
//! A [`Holder`] manages one instance's part: it reserves the worst-case cost of each call before
//! the call is sent, and writes to the ledger conditionally on the version that it last read.

pub mod account_totals;
pub mod balance;
pub mod claim;
pub mod demand;
pub mod entry;
pub mod holder;
pub mod ledger;
pub mod ledger_change;
pub mod options;
pub mod overview;
pub mod receipt;
pub mod receipt_scope;
pub mod report;
pub mod settlement;
pub mod shortage;
pub mod spend_limits;
pub mod stamp;
pub mod unlock_rate;

pub use account_totals::AccountTotals;
pub use balance::Rank;
pub use claim::Claim;
pub use entry::HolderEntry;
pub use holder::{Holder, Role, Round};
pub use ledger::Ledger;
pub use ledger_change::LedgerChange;
pub use options::EscrowOptions;
pub use overview::{AccountView, Overview};
pub use receipt::{AccountReceipt, Receipt};
pub use receipt_scope::ReceiptScope;
pub use report::Report;
pub use settlement::Settlement;
pub use shortage::Shortage;
pub use spend_limits::SpendLimits;
pub use stamp::Stamp;
pub use unlock_rate::UnlockRate;
