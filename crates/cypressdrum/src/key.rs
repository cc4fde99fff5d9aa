//! `key`: makes bearer keys.

use crate::Exit;
use api::key::KeyBody;
use clap::{Subcommand, ValueEnum};
use configuration::{Key, KeyHash, KeyRole};
use serde::Serialize;
use thiserror::Error;
use types::{KeyId, TenantId};

/// Random bytes in a secret.
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

/// Role and tenant that do not go together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// A caller's key without a tenant.
    #[error("a caller's key needs --tenant")]
    NoTenant,
    /// Another key with a tenant.
    #[error("only a caller's key has a tenant")]
    Tenant,
}

/// A fresh key with its secret.
pub struct NewKey {
    /// What the bearer sends.
    pub token: String,
    /// What the configuration holds.
    pub key: Key,
}

/// The document's part with the key.
#[derive(Serialize)]
struct KeyEntry {
    keys: [KeyBody; 1],
}

/// Makes a key with a random secret.
///
/// # Errors
///
/// Fails if a caller's key lacks its tenant, or another role's key has one.
pub fn new_key(id: KeyId, role: Role, tenant: Option<TenantId>) -> Result<NewKey, KeyError> {
    let role = match (role, tenant) {
        (Role::Caller, Some(tenant)) => KeyRole::Caller(tenant),
        (Role::Caller, None) => return Err(KeyError::NoTenant),
        (Role::Operator, None) => KeyRole::Operator,
        (Role::Runner, None) => KeyRole::Runner,
        (_, Some(_)) => return Err(KeyError::Tenant),
    };
    let secret = random_hex();
    let hash = KeyHash::new(rand::random(), secret.as_bytes());
    Ok(NewKey {
        token: format!("{id}.{secret}"),
        key: Key { id, role, hash },
    })
}

fn random_hex() -> String {
    let bytes: [u8; SECRET_BYTES] = rand::random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Runs the command.
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
