//! Recipient of a receipt.

use damaskstile_core::prelude::*;

use crate::report::Report;

/// Recipient and scope of a receipt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceiptScope {
    /// Address of the instance that reported.
    pub address: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Accounts that the report named, if the receipt may be limited to them and to those of the
    /// instance's ledger entry; `None` for all prepaid accounts too.
    pub accounts: Option<Vec<AccountId>>,
}

impl ReceiptScope {
    /// Returns the recipient and scope of the receipt for a report.
    ///
    /// ```
    /// use damaskstile_escrow::{ReceiptScope, Report};
    /// assert_eq!(ReceiptScope::of(&Report::default()).accounts, None);
    /// ```
    #[must_use]
    pub fn of(report: &Report) -> Self {
        let is_short = report.takes_short_receipts;
        Self {
            address: report.address.clone(),
            incarnation: report.incarnation,
            accounts: is_short.then(|| report.claims.keys().cloned().collect()),
        }
    }
}
