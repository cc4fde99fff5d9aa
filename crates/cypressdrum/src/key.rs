//! The `key` command: generates bearer keys.

use crate::Exit;
use api::key::KeyBody;
use clap::{Subcommand, ValueEnum};
use configuration::{Key, KeyHash, KeyRole};
use serde::Serialize;
use thiserror::Error;
use types::{KeyId, TenantId};

/// Random bytes in a secret; its text in hexadecimal has twice as many
/// characters.
const SECRET_BYTES: usize = 32;

/// What to do with keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Make a key: its token is shown this once, its entry goes into the
    /// configuration document.
    New {
        /// Public name of the key.
        id: KeyId,
        /// What its bearer may do.
        #[arg(long)]
        role: Role,
        /// The tenant of a caller's key.
        #[arg(long)]
        tenant: Option<TenantId>,
    },
}

/// What a bearer may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Role {
    /// Submit, ask for and cancel one tenant's jobs.
    Caller,
    /// Everything.
    Operator,
    /// Heartbeats to an agent.
    Runner,
}

/// Combination of role and tenant that is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// A caller's key has no tenant.
    #[error("a caller's key needs --tenant")]
    NoTenant,
    /// A key of another role has a tenant.
    #[error("only a caller's key has a tenant")]
    Tenant,
}

/// A newly generated key and the token with its secret.
pub struct NewKey {
    /// Bearer token, `<id>.<secret>`. The cluster stores only a hash of the
    /// secret, so the token cannot be shown again.
    pub token: String,
    /// Entry for the configuration: identifier, role and hash of the secret.
    pub key: Key,
}

/// Part of the configuration document that holds the new key.
#[derive(Serialize)]
struct KeyEntry {
    keys: [KeyBody; 1],
}

/// Generates a key with a random secret.
///
/// # Errors
///
/// Fails if a caller's key has no tenant, or a key of another role has one.
pub fn new_key(id: KeyId, role: Role, tenant: Option<TenantId>) -> Result<NewKey, KeyError> {
    let role = match (role, tenant) {
        (Role::Caller, Some(tenant)) => KeyRole::Caller(tenant),
        (Role::Caller, None) => return Err(KeyError::NoTenant),
        (Role::Operator, None) => KeyRole::Operator,
        (Role::Runner, None) => KeyRole::Runner,
        (_, Some(_)) => return Err(KeyError::Tenant),
    };
    let secret = random_secret();
    let hash = KeyHash::new(rand::random(), secret.as_bytes());
    Ok(NewKey {
        token: format!("{id}.{secret}"),
        key: Key { id, role, hash },
    })
}

fn random_secret() -> String {
    let bytes: [u8; SECRET_BYTES] = rand::random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Generates a key and prints its token and its configuration entry.
pub fn run(command: KeyCommand) -> Exit {
    let KeyCommand::New { id, role, tenant } = command;
    let new = match new_key(id, role, tenant) {
        Ok(new) => new,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Usage;
        }
    };
    let entry = KeyEntry {
        keys: [new.key.into()],
    };
    match toml::to_string(&entry) {
        Ok(entry) => {
            println!("# Token, shown this once:\n# {}\n", new.token);
            println!("# Entry for the configuration document:\n{entry}");
            Exit::Done
        }
        Err(error) => {
            eprintln!("{error}");
            Exit::Rejected
        }
    }
}
