//! `reported` is what a receipt goes by.

use damaskstile_core::prelude::*;

use crate::report::Report;

/// `Reported` says whom a receipt goes to, and what it is to tell of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reported {
    /// Address of the instance that reported.
    pub address: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The accounts that it reported on, where its receipt needs no others; `None` for all.
    pub accounts: Option<Vec<AccountId>>,
}

impl Reported {
    /// Returns what the receipt of a report goes by.
    ///
    /// ```
    /// use damaskstile_escrow::{Report, Reported};
    /// assert_eq!(Reported::of(&Report::default()).accounts, None);
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
