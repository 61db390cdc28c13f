//! Commands that show and change the settings of the fleet and list their versions.

use std::path::PathBuf;

use clap::Subcommand;
use damaskstile::core::prelude::*;
use damaskstile::fleet::settings::{StoredSettings, Values};
use damaskstile::keys::settings_history_key;
use serde_json::json;

use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;
use crate::tree;

/// Commands for the settings of the fleet.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Shows all settings, in TOML.
    Show,
    /// Shows the effective values for a client account, with the level that each comes from.
    Get {
        /// Name of the client account.
        account: String,
        /// Name of the service; if omitted, values set for services are left out.
        #[arg(default_value = "")]
        service: String,
    },
    /// Sets a single value, for example `fleet.max_output_tokens=500`.
    Set {
        /// Path and value, as PATH=VALUE.
        assignment: String,
        /// Version that the change applies to; the latest if omitted.
        #[arg(long)]
        expected_version: Option<Version>,
    },
    /// Replaces all settings with those in a file.
    Apply {
        /// File with all settings, in TOML.
        file: PathBuf,
        /// Version that the file was made from; the latest if omitted.
        #[arg(long)]
        expected_version: Option<Version>,
    },
    /// Shows what changed between two versions.
    Diff {
        /// Older version.
        old: Version,
        /// Newer version; the latest if omitted.
        new: Option<Version>,
    },
    /// Lists all versions.
    History,
}

/// Runs a `settings` subcommand.
pub async fn run(context: &Context, command: SettingsCommand) -> Result<(), Failure> {
    match command {
        SettingsCommand::Show => show(context).await,
        SettingsCommand::Get { account, service } => get(context, &account, &service).await,
        SettingsCommand::Set {
            assignment,
            expected_version,
        } => set(context, &assignment, expected_version).await,
        SettingsCommand::Apply {
            file,
            expected_version,
        } => apply(context, &file, expected_version).await,
        SettingsCommand::Diff { old, new } => diff(context, old, new).await,
        SettingsCommand::History => history(context).await,
    }
}

async fn show(context: &Context) -> Result<(), Failure> {
    let tree = tree::read(context).await?;
    println!("# version {}\n{}", tree.version, tree.stored.text);
    Ok(())
}

async fn get(context: &Context, account: &str, service: &str) -> Result<(), Failure> {
    let tree = tree::read(context).await?;
    if !tree.settings.account.contains_key(account) {
        return Err(Failure::NotFound(format!("client account {account}")));
    }
    let effective = tree.settings.effective(account, service);
    let values = Values {
        max_output_tokens: Some(effective.max_output_tokens),
        time_limit_ms: u64::try_from(effective.time_limit.as_millis()).ok(),
        priority: Some(effective.priority),
        max_in_flight_requests: Some(effective.max_in_flight_requests),
        prompt_token_bytes: Some(effective.prompt_token_bytes),
        budget_policy: Some(effective.budget_policy.clone()),
        open_percent: Some(effective.open_percent),
    };
    let mut table = Table::new(&["key", "value", "level"]);
    for key in Values::KEYS {
        let value = values.get(key).unwrap_or_default();
        let level = effective.levels.get(key);
        let level = level.map_or(String::new(), |level| format!("{level:?}").to_lowercase());
        table.row(&[&key, &value, &level]);
    }
    context.print(&effective, &table)
}

/// Reads the latest settings as the base of a change.
///
/// # Errors
///
/// Returns [`Failure::Conflict`] with what changed since, if the latest version is not the expected
/// one.
async fn read_base(context: &Context, expected: Option<Version>) -> Result<tree::Tree, Failure> {
    let tree = tree::read(context).await?;
    match expected {
        Some(expected) if expected != tree.version => {
            let old = version_text(context, expected).await?;
            let changes = tree::diff(&old.text, &tree.stored.text).join("\n");
            Err(Failure::Conflict(format!(
                "version {} by {} ({}):\n{changes}",
                tree.version, tree.stored.author, tree.stored.note
            )))
        }
        _ => Ok(tree),
    }
}

async fn set(
    context: &Context,
    assignment: &str,
    expected: Option<Version>,
) -> Result<(), Failure> {
    let Some((path, value)) = assignment.split_once('=') else {
        return Err(Failure::Refused(format!(
            "found `{assignment}`, expected PATH=VALUE"
        )));
    };
    let base = read_base(context, expected).await?;
    let mut document: toml::Table = base
        .stored
        .text
        .parse()
        .map_err(|error: toml::de::Error| Failure::Refused(error.to_string()))?;
    set_path(&mut document, path.trim(), parse_value(value.trim()))?;
    let text =
        toml::to_string_pretty(&document).map_err(|error| Failure::Refused(error.to_string()))?;
    tree::write(context, &base, text, &format!("set {assignment}")).await?;
    Ok(())
}

/// Parses a TOML value; text that is not valid TOML is taken as a string.
fn parse_value(text: &str) -> toml::Value {
    let parsed = format!("value = {text}").parse::<toml::Table>();
    let value = parsed.ok().and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| toml::Value::String(text.to_owned()))
}

/// Sets a value at a dotted path and creates the tables on the way.
fn set_path(table: &mut toml::Table, path: &str, value: toml::Value) -> Result<(), Failure> {
    match path.split_once('.') {
        None => {
            table.insert(path.to_owned(), value);
            Ok(())
        }
        Some((first, rest)) => {
            let inner = table
                .entry(first)
                .or_insert_with(|| toml::Value::Table(toml::Table::new()));
            match inner {
                toml::Value::Table(inner) => set_path(inner, rest, value),
                other => Err(Failure::Refused(format!(
                    "key `{first}`: found {other}, expected a table"
                ))),
            }
        }
    }
}

async fn apply(
    context: &Context,
    file: &PathBuf,
    expected: Option<Version>,
) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Refused(format!("{}: {error}", file.display())))?;
    let base = read_base(context, expected).await?;
    let note = format!("apply {}", file.display());
    let written = tree::write(context, &base, text, &note).await;
    written
        .map(|_| ())
        .map_err(|failure| in_file(file, failure))
}

/// Prefixes the message of a refusal with the name of the file.
fn in_file(file: &std::path::Path, failure: Failure) -> Failure {
    match failure {
        Failure::Refused(what) => Failure::Refused(format!("{}: {what}", file.display())),
        other => other,
    }
}

/// Reads a version of the settings, from the current object or from the history.
async fn version_text(context: &Context, version: Version) -> Result<StoredSettings, Failure> {
    let latest = tree::read(context).await?;
    if latest.version == version {
        return Ok(latest.stored);
    }
    let key = settings_history_key(version);
    match context.platform.read(&key).await? {
        Some(object) => Ok(serde_json::from_str(&object.value)?),
        None => Err(Failure::NotFound(format!("settings version {version}"))),
    }
}

async fn diff(context: &Context, old: Version, new: Option<Version>) -> Result<(), Failure> {
    let old_text = version_text(context, old).await?.text;
    let new_text = match new {
        Some(new) => version_text(context, new).await?.text,
        None => tree::read(context).await?.stored.text,
    };
    let changes = tree::diff(&old_text, &new_text);
    let mut table = Table::new(&["change"]);
    for change in &changes {
        table.row(&[change]);
    }
    context.print(&changes, &table)
}

async fn history(context: &Context) -> Result<(), Failure> {
    let mut versions = Vec::new();
    for listed in context.platform.list("settings/history/").await? {
        let Some(object) = context.platform.read(&listed.key).await? else {
            continue;
        };
        let stored: StoredSettings = serde_json::from_str(&object.value)?;
        let version = listed.key.rsplit('/').next().unwrap_or_default();
        versions.push((version.parse::<Version>().unwrap_or(0), stored));
    }
    let latest = tree::read(context).await?;
    versions.push((latest.version, latest.stored));
    let mut table = Table::new(&["version", "at_unix_ms", "author", "note"]);
    let mut values = Vec::new();
    for (version, stored) in &versions {
        table.row(&[version, &stored.at_unix_ms, &stored.author, &stored.note]);
        values.push(json!({
            "version": version,
            "at_unix_ms": stored.at_unix_ms,
            "author": stored.author,
            "note": stored.note,
        }));
    }
    context.print(&values, &table)
}
