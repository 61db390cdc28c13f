//! The tree of settings, with values for the fleet, for client accounts and for their services.

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

/// Upper bound of time limits in the settings.
const TIME_LIMIT_MAX_MS: u64 = 24 * 3600 * 1000;
/// Upper bound of output caps in the settings.
const OUTPUT_MAX_TOKENS: u64 = 1_000_000;

/// `Settings` is the whole tree, as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Settings of the deployment, which cannot be overridden.
    pub system: SystemSettings,
    /// Values for the fleet, which client accounts inherit.
    pub fleet: Values,
    /// Services by name.
    pub service: BTreeMap<ServiceId, ServiceSettings>,
    /// Client accounts by name.
    pub account: BTreeMap<AccountId, AccountSettings>,
}

impl Settings {
    /// Parses and validates a tree from TOML.
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
    /// Returns an error that states the key, the value found and the value expected.
    pub fn try_from_toml(text: &str) -> Result<Self> {
        let document = toml::Deserializer::parse(text).map_err(|error| syntax_error(&error))?;
        let settings: Self =
            serde_path_to_error::deserialize(document).map_err(|error| value_error(&error))?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the tree as TOML.
    ///
    /// # Errors
    ///
    /// Returns an error if the tree cannot be represented as TOML.
    pub fn to_toml(&self) -> Result<String> {
        toml::to_string_pretty(self)
            .or_else(|error| setting_error("", error, "settings that can be written as TOML"))
    }

    /// Checks that values are in range and consistent with each other.
    ///
    /// # Errors
    ///
    /// Returns an error that states the first invalid key.
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
                let expected = format!("a token that account {other} does not use");
                return setting_error(format!("{path}.token_sha256"), token, expected);
            }
        }
        for (service, values) in &account.service {
            let path = format!("{path}.service.{service}");
            if !self.service.contains_key(service) {
                return setting_error(path, service, "a service defined in [service]");
            }
            check_values(&path, values)?;
        }
        Ok(())
    }

    /// Returns the client account of a bearer token, given the SHA-256 of the token in lower-case
    /// hexadecimal.
    #[must_use]
    pub fn account_of_token(&self, token_sha256: &str) -> Option<(&AccountId, &AccountSettings)> {
        self.account.iter().find(|(_, account)| {
            account
                .token_sha256
                .iter()
                .any(|known| known == token_sha256)
        })
    }

    /// Returns the values that apply to a service of a client account.
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

/// Checks that a value, if set, lies between `least` and `most`, both included.
///
/// # Errors
///
/// Returns an error that states the key, the value and the range.
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
