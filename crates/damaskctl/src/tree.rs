//! `tree` reads and changes the stored tree of settings.

use damaskstile::core::prelude::*;
use damaskstile::fleet::Settings;
use damaskstile::fleet::settings::{SETTINGS_KEY, StoredSettings};
use damaskstile::keys::settings_history_key;

use crate::context::Context;
use crate::exit::Failure;

/// `Tree` is the stored tree at a version.
#[derive(Debug)]
pub struct Tree {
    /// Version; 0 where nothing is stored yet.
    pub version: Version,
    /// The value as stored.
    pub stored: StoredSettings,
    /// The tree.
    pub settings: Settings,
}

/// Reads the tree as it stands.
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

/// Reads a tree out of an object.
pub fn parse(object: &Object) -> Result<Tree, Failure> {
    let stored: StoredSettings = serde_json::from_str(&object.value)?;
    let settings = Settings::try_from_toml(&stored.text)?;
    Ok(Tree {
        version: object.version,
        stored,
        settings,
    })
}

/// Stores a changed tree, if nobody has changed it since it was read.
///
/// The version that is replaced goes to the history first. So the history has every version that
/// ever stood, wherever this command is interrupted.
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
        Ok(_) => Err(Failure::NoAnswer("unexpected answer".to_owned())),
        Err(error) => resolve_lost(context, &stored, &error).await,
    }
}

/// Finds out whether a change was accepted whose answer was lost.
async fn resolve_lost(
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
        "{error}; the change may or may not stand, see `settings history`"
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

/// Lists the lines that only one of two texts has.
pub fn diff(old: &str, new: &str) -> Vec<String> {
    let flat_old = flatten(old);
    let flat_new = flatten(new);
    let gone = flat_old
        .iter()
        .filter(|line| !flat_new.contains(line))
        .map(|line| format!("- {line}"));
    let come = flat_new
        .iter()
        .filter(|line| !flat_old.contains(line))
        .map(|line| format!("+ {line}"));
    gone.chain(come).collect()
}

/// Writes each value with its whole path, so that lines can be compared.
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
