//! `options` describes a fleet and what surrounds it.

use std::time::Duration;

use damaskstile::budgets::BudgetOptions;
use damaskstile::targets::RegistryOptions;

/// `WorldOptions` describes a fleet and what surrounds it.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    /// Seed of all choices.
    pub seed: u64,
    /// Data centres; instances are spread over them in turn.
    pub data_centres: usize,
    /// Instances.
    pub instances: usize,
    /// Targets of the model's service.
    pub targets: usize,
    /// Requests that a target runs at a time.
    pub slots_requests: u64,
    /// Time between two chunks of an answer.
    pub pace: Duration,
    /// Time of a message within a data centre.
    pub near_delay: Duration,
    /// Time of a message between data centres.
    pub far_delay: Duration,
    /// Time of a call to the store.
    pub store_delay: Duration,
    /// Age of targets' load reports.
    pub report_lag: Duration,
    /// The tree of settings, as TOML.
    pub settings: String,
    /// How budgets are held.
    pub budgets: BudgetOptions,
    /// How targets are chosen.
    pub registry: RegistryOptions,
}

impl Default for WorldOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            data_centres: 3,
            instances: 3,
            targets: 3,
            slots_requests: 64,
            pace: Duration::from_millis(10),
            near_delay: Duration::from_micros(200),
            far_delay: Duration::from_micros(500),
            store_delay: Duration::from_millis(4),
            report_lag: Duration::ZERO,
            settings: settings(""),
            budgets: BudgetOptions::default(),
            registry: RegistryOptions::default(),
        }
    }
}

/// Makes a tree with one client account (`office`, budget `office`, token hash of `a`s), a model
/// service `chat`, and plain services `status` and `publish`, the latter non-idempotent.
///
/// `system` is put under `[system]`.
#[must_use]
pub fn settings(system: &str) -> String {
    format!(
        "[system]\n{system}\n\
         [service.chat]\nkind = \"model\"\n\
         [service.status]\nkind = \"plain\"\nprice_tokens = 2\ncan_resume = false\n\
         [service.publish]\nkind = \"plain\"\nprice_tokens = 3\nis_non_idempotent = true\n\
         [account.office]\nbudget = \"office\"\ntoken_sha256 = [\"{OFFICE_TOKEN}\"]\n"
    )
}

/// Token hash of the account `office`.
pub const OFFICE_TOKEN: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
