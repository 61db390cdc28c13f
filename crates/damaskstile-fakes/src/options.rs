//! Options of a simulation and default settings of its fleet.

use std::time::Duration;

use damaskstile::budgets::BudgetOptions;
use damaskstile::targets::RegistryOptions;

/// Options of a simulated fleet, its targets, network and store.
#[derive(Debug, Clone)]
pub struct SimulationOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of data centres; instances are assigned to them round-robin.
    pub data_centres: usize,
    /// Number of instances.
    pub instances: usize,
    /// Number of targets of the model service `chat`.
    pub targets: usize,
    /// Requests that a target runs concurrently.
    pub slots_requests: u64,
    /// Time between two chunks of an answer.
    pub chunk_interval: Duration,
    /// One-way delay of a message within a data centre.
    pub near_delay: Duration,
    /// One-way delay of a message between data centres.
    pub far_delay: Duration,
    /// Round-trip time of a call to the store.
    pub store_delay: Duration,
    /// Age of the load that targets report.
    pub report_lag: Duration,
    /// Settings tree, as TOML.
    pub settings: String,
    /// Options of the budget manager of each instance.
    pub budgets: BudgetOptions,
    /// Options of the target registry of each instance.
    pub registry: RegistryOptions,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            data_centres: 3,
            instances: 3,
            targets: 3,
            slots_requests: 64,
            chunk_interval: Duration::from_millis(10),
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

/// Returns a settings tree with one client account (`office`, budget `office`, token hash
/// [`OFFICE_TOKEN`]), a model service `chat`, and plain services `status` and `publish`, the
/// latter non-idempotent.
///
/// `system` is the TOML content of the section `[system]`.
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

/// Token hash of the account `office`, in place of a real SHA-256.
pub const OFFICE_TOKEN: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
