//! Reads and changes the settings tree in the store, and compares versions of it.

use damaskstile::core::prelude::*;
use damaskstile::fleet::Settings;
use damaskstile::fleet::settings::{SETTINGS_KEY, StoredSettings};
use damaskstile::keys::settings_history_key;

use crate::context::Context;
use crate::exit::Failure;

/// One version of the settings tree.
#[derive(Debug)]
pub struct Tree {
    /// Version in the store; 0 if nothing is stored yet.
    pub version: Version,
    /// The stored object: the settings as text, with author, note and time.
    pub stored: StoredSettings,
    /// The parsed settings.
    pub settings: Settings,
}

/// Reads the latest version; empty default settings if nothing is stored yet.
pub async fn read(context: &Context) -> Result<Tree, Failure> {
    match context.platform.read(SETTINGS_KEY).await? {
        Some(object) => parse(&object),
        None => Ok(Tree {
            version: 0,
            stored: StoredSettings {
                author: String::new(),
                note: String::new(),
                at_unix_ms: 0,
                text: String::new(),
            },
            settings: Settings::default(),
        }),
    }
}

/// Parses a stored object.
pub fn parse(object: &Object) -> Result<Tree, Failure> {
    let stored: StoredSettings = serde_json::from_str(&object.value)?;
    let settings = Settings::try_from_toml(&stored.text)?;
    Ok(Tree {
        version: object.version,
        stored,
        settings,
    })
}

/// Checks and stores new settings, unless they were changed since `base` was read.
///
/// The replaced version is written to the history first, so that the history is complete wherever
/// this command is interrupted.
///
/// # Errors
///
/// Returns [`Failure::Refused`] if the text is invalid, [`Failure::Conflict`] if the settings were
/// changed meanwhile, and [`Failure::NoAnswer`] if it is unknown whether the change took effect.
pub async fn write(
    context: &Context,
    base: &Tree,
    text: String,
    note: &str,
) -> Result<Version, Failure> {
    Settings::try_from_toml(&text)?;
    if base.version > 0 {
        let key = settings_history_key(base.version);
        let value = serde_json::to_string(&base.stored)?;
        context.platform.write(&key, 0, value).await?;
    }
    let stored = StoredSettings {
        author: context.author.clone(),
        note: note.to_owned(),
        at_unix_ms: Context::unix_ms(),
        text,
    };
    let value = serde_json::to_string(&stored)?;
    let answer = context
        .platform
        .write(SETTINGS_KEY, base.version, value)
        .await;
    match answer {
        Ok(StoreAnswer::Written { version }) => {
            println!("accepted as version {version}");
            Ok(version)
        }
        Ok(StoreAnswer::Conflict(Some(object))) => Err(conflict(base, &object)),
        Ok(_) => Err(Failure::NoAnswer(
            "unexpected answer of the store to the write of the settings".to_owned(),
        )),
        Err(error) => resolve_lost_answer(context, &stored, &error).await,
    }
}

/// Determines whether a change took effect after the answer to its write was lost.
async fn resolve_lost_answer(
    context: &Context,
    stored: &StoredSettings,
    error: &damaskstile_http::Error,
) -> Result<Version, Failure> {
    if let Ok(Some(object)) = context.platform.read(SETTINGS_KEY).await
        && serde_json::from_str::<StoredSettings>(&object.value)
            .ok()
            .as_ref()
            == Some(stored)
    {
        println!(
            "accepted as version {} (the answer was lost)",
            object.version
        );
        return Ok(object.version);
    }
    Err(Failure::NoAnswer(format!(
        "{error}; the change may or may not have been applied, see `settings history`"
    )))
}

fn conflict(base: &Tree, object: &Object) -> Failure {
    match parse(object) {
        Ok(other) => {
            let changes = diff(&base.stored.text, &other.stored.text);
            Failure::Conflict(format!(
                "version {} by {} ({}):\n{}",
                other.version,
                other.stored.author,
                other.stored.note,
                changes.join("\n")
            ))
        }
        Err(failure) => failure,
    }
}

/// Lists the values that differ between two versions: removed ones with `-`, added ones with `+`.
pub fn diff(old: &str, new: &str) -> Vec<String> {
    let flat_old = flatten(old);
    let flat_new = flatten(new);
    let removed = flat_old
        .iter()
        .filter(|line| !flat_new.contains(line))
        .map(|line| format!("- {line}"));
    let added = flat_new
        .iter()
        .filter(|line| !flat_old.contains(line))
        .map(|line| format!("+ {line}"));
    removed.chain(added).collect()
}

/// Returns each value of a TOML text as a line with its full path, so that lines can be compared.
/// Text that is not valid TOML is split into its lines.
fn flatten(text: &str) -> Vec<String> {
    let Ok(table) = text.parse::<toml::Table>() else {
        return text.lines().map(str::to_owned).collect();
    };
    let mut lines = Vec::new();
    flatten_into("", &toml::Value::Table(table), &mut lines);
    lines
}

fn flatten_into(path: &str, value: &toml::Value, lines: &mut Vec<String>) {
    match value {
        toml::Value::Table(table) => {
            for (key, value) in table {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                flatten_into(&path, value, lines);
            }
        }
        other => lines.push(format!("{path} = {other}")),
    }
}
