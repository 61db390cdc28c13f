//! Commands that create and list client accounts and rotate their tokens.

use clap::Subcommand;
use damaskstile::core::hex::to_hex;
use damaskstile::fleet::settings::AccountSettings;
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;
use crate::tree;

/// Commands for client accounts.
#[derive(Debug, Subcommand)]
pub enum AccountCommand {
    /// Creates a client account. Its token is shown once; only its hash is stored.
    Create {
        /// Name of the account.
        name: String,
        /// Budget that the account draws on.
        #[arg(long)]
        budget: String,
        /// Token; a random one is generated if omitted.
        #[arg(long)]
        token: Option<String>,
    },
    /// Lists the client accounts.
    List,
    /// Adds a token, so that tokens can be rotated without downtime.
    AddToken {
        /// Name of the account.
        name: String,
        /// Token; a random one is generated if omitted.
        #[arg(long)]
        token: Option<String>,
    },
    /// Removes all tokens except the newest.
    DropOldTokens {
        /// Name of the account.
        name: String,
    },
}

/// Runs an `account` subcommand.
pub async fn run(context: &Context, command: AccountCommand) -> Result<(), Failure> {
    match command {
        AccountCommand::Create {
            name,
            budget,
            token,
        } => create(context, &name, &budget, token).await,
        AccountCommand::List => list(context).await,
        AccountCommand::AddToken { name, token } => add_token(context, &name, token).await,
        AccountCommand::DropOldTokens { name } => drop_old_tokens(context, &name).await,
    }
}

/// Returns the SHA-256 of a token in hex, the form in which tokens are stored.
pub fn token_sha256(token: &str) -> String {
    to_hex(&Sha256::digest(token.as_bytes()))
}

fn generate_token() -> Result<String, Failure> {
    use std::io::Read;
    let mut bytes = [0_u8; 24];
    std::fs::File::open("/dev/urandom")
        .and_then(|mut source| source.read_exact(&mut bytes))
        .map_err(|error| {
            Failure::Refused(format!(
                "cannot read /dev/urandom to generate a token: {error}"
            ))
        })?;
    Ok(format!("dm-{}", to_hex(&bytes)))
}

async fn create(
    context: &Context,
    name: &str,
    budget: &str,
    token: Option<String>,
) -> Result<(), Failure> {
    let mut tree = tree::read(context).await?;
    if tree.settings.account.contains_key(name) {
        return Err(Failure::Refused(format!(
            "client account {name} already exists"
        )));
    }
    let is_generated = token.is_none();
    let token = match token {
        Some(token) => token,
        None => generate_token()?,
    };
    let account = AccountSettings {
        budget: budget.to_owned(),
        token_sha256: vec![token_sha256(&token)],
        ..AccountSettings::default()
    };
    tree.settings.account.insert(name.to_owned(), account);
    let text = tree.settings.to_toml()?;
    tree::write(context, &tree, text, &format!("create account {name}")).await?;
    if is_generated {
        println!("token: {token}");
    }
    Ok(())
}

async fn list(context: &Context) -> Result<(), Failure> {
    let tree = tree::read(context).await?;
    let mut table = Table::new(&["account", "budget", "tokens"]);
    let mut values = Vec::new();
    for (name, account) in &tree.settings.account {
        table.row(&[name, &account.budget, &account.token_sha256.len()]);
        values.push(json!({"account": name, "budget": account.budget}));
    }
    context.print(&values, &table)
}

async fn add_token(context: &Context, name: &str, token: Option<String>) -> Result<(), Failure> {
    let mut tree = tree::read(context).await?;
    let token = match token {
        Some(token) => token,
        None => generate_token()?,
    };
    account_mut(&mut tree, name)?
        .token_sha256
        .push(token_sha256(&token));
    let text = tree.settings.to_toml()?;
    tree::write(context, &tree, text, &format!("add token to {name}")).await?;
    println!("token: {token}");
    Ok(())
}

async fn drop_old_tokens(context: &Context, name: &str) -> Result<(), Failure> {
    let mut tree = tree::read(context).await?;
    let tokens = &mut account_mut(&mut tree, name)?.token_sha256;
    let old = tokens.len().saturating_sub(1);
    tokens.drain(..old);
    let text = tree.settings.to_toml()?;
    tree::write(context, &tree, text, &format!("drop tokens of {name}")).await?;
    Ok(())
}

fn account_mut<'a>(
    tree: &'a mut tree::Tree,
    name: &str,
) -> Result<&'a mut AccountSettings, Failure> {
    tree.settings
        .account
        .get_mut(name)
        .ok_or_else(|| Failure::NotFound(format!("client account {name}")))
}
