//! `settings` holds the tree of settings: fleet, client account, service of the account.

mod account;
mod effective;
mod service;
mod stored;
mod system;
mod values;

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use account::AccountSettings;
pub use effective::{Effective, Level};
pub use service::{ServiceKind, ServiceSettings};
pub use stored::{SETTINGS_KEY, StoredSettings};
pub use system::SystemSettings;
pub use values::Values;

use crate::errors::{Error, Result, setting_error};

/// Longest time limit that can be set.
const TIME_LIMIT_MAX_MS: u64 = 24 * 3600 * 1000;
/// Largest cap of an output that can be set.
const OUTPUT_MAX_TOKENS: u64 = 1_000_000;

/// `Settings` is the whole tree, as operators accept it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Settings of the deployment that nothing overrides.
    pub system: SystemSettings,
    /// Values of the fleet, which client accounts inherit.
    pub fleet: Values,
    /// Services by name.
    pub service: BTreeMap<ServiceId, ServiceSettings>,
    /// Client accounts by name.
    pub account: BTreeMap<AccountId, AccountSettings>,
}

impl Settings {
    /// Reads and checks a tree.
    ///
    /// ```
    /// use damaskstile_fleet::settings::Settings;
    /// let settings = Settings::try_from_toml("[fleet]\nmax_output_tokens = 100").unwrap();
    /// assert_eq!(settings.fleet.max_output_tokens, Some(100));
    /// let error = Settings::try_from_toml("[fleet]\nmax_output = 1").unwrap_err();
    /// assert_eq!(error.key, "fleet.max_output");
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error that names the key, what was found and what was expected.
    pub fn try_from_toml(text: &str) -> Result<Self> {
        let document = toml::Deserializer::parse(text).map_err(|error| syntax_error(&error))?;
        let settings: Self =
            serde_path_to_error::deserialize(document).map_err(|error| value_error(&error))?;
        settings.check()?;
        Ok(settings)
    }

    /// Writes the tree as operators read it.
    ///
    /// # Errors
    ///
    /// Returns an error where the tree cannot be written as TOML.
    pub fn to_toml(&self) -> Result<String> {
        toml::to_string_pretty(self).or_else(|error| setting_error("", error, "a tree of settings"))
    }

    /// Checks ranges, and values that contradict one another.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first key that is wrong.
    pub fn check(&self) -> Result<()> {
        self.system.check()?;
        check_values("fleet", &self.fleet)?;
        for (name, service) in &self.service {
            service.check(&format!("service.{name}"))?;
        }
        let mut tokens = BTreeMap::new();
        for (name, account) in &self.account {
            self.check_account(name, account, &mut tokens)?;
        }
        Ok(())
    }

    fn check_account<'a>(
        &self,
        name: &'a str,
        account: &'a AccountSettings,
        tokens: &mut BTreeMap<&'a str, &'a str>,
    ) -> Result<()> {
        let path = format!("account.{name}");
        account.check(&path)?;
        check_values(&format!("{path}.values"), &account.values)?;
        for token in &account.token_sha256 {
            if let Some(other) = tokens.insert(token, name) {
                let expected = format!("a token that account {other} does not have");
                return setting_error(format!("{path}.token_sha256"), token, expected);
            }
        }
        for (service, values) in &account.service {
            let path = format!("{path}.service.{service}");
            if !self.service.contains_key(service) {
                return setting_error(path, service, "a service that [service] defines");
            }
            check_values(&path, values)?;
        }
        Ok(())
    }

    /// Finds the client account that a bearer token belongs to.
    #[must_use]
    pub fn account_of_token(&self, token_sha256: &str) -> Option<(&AccountId, &AccountSettings)> {
        self.account.iter().find(|(_, account)| {
            account
                .token_sha256
                .iter()
                .any(|known| known == token_sha256)
        })
    }

    /// Returns the values in force for a service of a client account.
    #[must_use]
    pub fn effective(&self, account: &str, service: &str) -> Effective {
        let account = self.account.get(account);
        let of_account = account.map(|account| &account.values);
        let of_service = account.and_then(|account| account.service.get(service));
        Effective::resolve(&self.fleet, of_account, of_service)
    }
}

fn check_values(path: &str, values: &Values) -> Result<()> {
    check_range(
        path,
        "max_output_tokens",
        values.max_output_tokens,
        1,
        OUTPUT_MAX_TOKENS,
    )?;
    check_range(
        path,
        "time_limit_ms",
        values.time_limit_ms,
        1,
        TIME_LIMIT_MAX_MS,
    )?;
    check_range(path, "open_percent", values.open_percent, 0, 100)?;
    check_range(
        path,
        "max_in_flight_requests",
        values.max_in_flight_requests,
        1,
        1_000_000,
    )?;
    check_range(path, "prompt_token_bytes", values.prompt_token_bytes, 1, 16)
}

/// Checks that a number lies in its range.
///
/// # Errors
///
/// Returns an error that names the key, the number and the range.
pub(crate) fn check_range(
    path: &str,
    key: &str,
    value: Option<u64>,
    least: u64,
    most: u64,
) -> Result<()> {
    match value {
        Some(value) if !(least..=most).contains(&value) => {
            setting_error(format!("{path}.{key}"), value, format!("{least} to {most}"))
        }
        _ => Ok(()),
    }
}

fn syntax_error(error: &toml::de::Error) -> Error {
    Error {
        key: String::new(),
        found: error.message().to_owned(),
        expected: "TOML".to_owned(),
    }
}

fn value_error(error: &serde_path_to_error::Error<toml::de::Error>) -> Error {
    let message = error.inner().message();
    let (found, expected) = message.split_once(", expected ").unwrap_or((message, ""));
    Error {
        key: error.path().to_string(),
        found: found.to_owned(),
        expected: expected.to_owned(),
    }
}
