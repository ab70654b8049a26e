//! Changes that operators can make to the configuration.

use coriander_core::{
    AccountLimits, AccountName, ClassName, ClassTarget, ConfigDocument, DatabaseName, FleetMember,
    InstanceId, KeyDigest, KeyEntry, ZoneName, ZoneState,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Minimum burst with which an account can receive a token.
const MIN_BURST: u32 = 2;

/// A change. Operators set targets and limits, never weights or addresses; the address of a fleet
/// member comes from the instance itself when it joins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum ChangeCommand {
    /// Sets the target of a class, which is created if it does not exist.
    SetClass {
        /// Class.
        class: ClassName,
        /// Target.
        target: ClassTarget,
    },
    /// Removes a class.
    RemoveClass {
        /// Class.
        class: ClassName,
    },
    /// Sets the limits of an account, which is created if it does not exist.
    SetAccount {
        /// Account.
        account: AccountName,
        /// Rate and burst.
        limits: AccountLimits,
    },
    /// Removes an account with its keys.
    RemoveAccount {
        /// Account.
        account: AccountName,
    },
    /// Makes a key valid for an account.
    GiveKey {
        /// Account.
        account: AccountName,
        /// Public identifier of the key.
        key_id: String,
        /// Digest of the key; the key itself is never sent.
        digest: KeyDigest,
    },
    /// Makes a key invalid.
    WithdrawKey {
        /// Public identifier of the key.
        key_id: String,
    },
    /// Takes a zone out of service.
    ZoneOut {
        /// Zone.
        zone: ZoneName,
    },
    /// Returns a zone to service.
    ZoneIn {
        /// Zone.
        zone: ZoneName,
    },
    /// Requests an instance to drain.
    DrainInstance {
        /// Instance.
        instance: InstanceId,
    },
    /// Adds a database.
    AddDatabase {
        /// Database.
        database: DatabaseName,
    },
    /// Removes a database.
    RemoveDatabase {
        /// Database.
        database: DatabaseName,
    },
    /// Adds an instance to the fleet; sent by the instance itself.
    JoinFleet {
        /// Instance.
        instance: InstanceId,
        /// Zone and address.
        member: FleetMember,
    },
    /// Removes an instance from the fleet.
    LeaveFleet {
        /// Instance.
        instance: InstanceId,
    },
}

/// A change that cannot be made.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "error", content = "name")]
pub enum CommandError {
    /// The named item does not exist.
    #[error("{0} does not exist")]
    Unknown(String),
    /// The key id is used by another key.
    #[error("key id {0} is already used")]
    KeyIdUsed(String),
    /// The key is already valid, possibly for another account.
    #[error("key {0} has the same digest as an existing key")]
    KeyUsed(String),
    /// A rate of zero or a burst below two would refuse every request: a grant in transit always
    /// counts against the burst.
    #[error("rate of account {0} must be greater than zero and its burst at least 2")]
    LowLimit(String),
    /// A latency of zero would refuse every request.
    #[error("latency of class {0} must be greater than zero")]
    ZeroLatency(String),
    /// The change has no effect.
    #[error("the change has no effect on the configuration")]
    NoEffect,
}

impl ChangeCommand {
    /// Applies the change to a document, whose version and author stay unchanged.
    ///
    /// ```
    /// use coriander_config::{ChangeCommand, CommandError};
    /// use coriander_core::ConfigDocument;
    ///
    /// let mut document = ConfigDocument::default();
    /// let zone = "mohammedia".parse().expect("valid name");
    /// let command = ChangeCommand::ZoneOut { zone };
    /// assert_eq!(command.apply(&mut document), Ok(()));
    /// assert_eq!(command.apply(&mut document), Err(CommandError::NoEffect));
    /// ```
    pub fn apply(&self, document: &mut ConfigDocument) -> Result<(), CommandError> {
        let before = document.clone();
        self.edit(document)?;
        if *document == before {
            return Err(CommandError::NoEffect);
        }
        Ok(())
    }

    fn edit(&self, document: &mut ConfigDocument) -> Result<(), CommandError> {
        match self {
            Self::SetClass { class, target } => set_class(document, class, target),
            Self::RemoveClass { class } => {
                expect_removed(document.classes.remove(class), "class", class)
            }
            Self::SetAccount { account, limits } => set_account(document, account, *limits),
            Self::RemoveAccount { account } => {
                document.keys.retain(|_, entry| entry.account != *account);
                expect_removed(document.accounts.remove(account), "account", account)
            }
            Self::GiveKey {
                account,
                key_id,
                digest,
            } => give_key(document, account, key_id, *digest),
            Self::WithdrawKey { key_id } => {
                let count = document.keys.len();
                document.keys.retain(|_, entry| entry.key_id != *key_id);
                let removed = (document.keys.len() < count).then_some(());
                expect_removed(removed, "key", key_id)
            }
            Self::ZoneOut { zone } => {
                document.zones.insert(zone.clone(), ZoneState::Out);
                Ok(())
            }
            Self::ZoneIn { zone } => {
                document.zones.remove(zone);
                Ok(())
            }
            Self::DrainInstance { instance } => {
                let member = document.fleet.get_mut(instance);
                member
                    .ok_or_else(|| unknown("instance", instance))?
                    .draining = true;
                Ok(())
            }
            Self::AddDatabase { database } => {
                if let Err(index) = document.databases.binary_search(database) {
                    document.databases.insert(index, database.clone());
                }
                Ok(())
            }
            Self::RemoveDatabase { database } => {
                let found = document.databases.binary_search(database);
                let removed = found.ok().map(|index| document.databases.remove(index));
                expect_removed(removed, "database", database)
            }
            Self::JoinFleet { instance, member } => {
                document.fleet.insert(instance.clone(), member.clone());
                Ok(())
            }
            Self::LeaveFleet { instance } => {
                expect_removed(document.fleet.remove(instance), "instance", instance)
            }
        }
    }
}

fn set_class(
    document: &mut ConfigDocument,
    class: &ClassName,
    target: &ClassTarget,
) -> Result<(), CommandError> {
    if target.latency.is_zero() {
        return Err(CommandError::ZeroLatency(class.to_string()));
    }
    document.classes.insert(class.clone(), target.clone());
    Ok(())
}

fn set_account(
    document: &mut ConfigDocument,
    account: &AccountName,
    limits: AccountLimits,
) -> Result<(), CommandError> {
    if limits.rate == 0 || limits.burst < MIN_BURST {
        return Err(CommandError::LowLimit(account.to_string()));
    }
    document.accounts.insert(account.clone(), limits);
    Ok(())
}

fn give_key(
    document: &mut ConfigDocument,
    account: &AccountName,
    key_id: &str,
    digest: KeyDigest,
) -> Result<(), CommandError> {
    if !document.accounts.contains_key(account) {
        return Err(unknown("account", account));
    }
    if document.keys.contains_key(&digest) {
        return Err(CommandError::KeyUsed(key_id.to_owned()));
    }
    if document.keys.values().any(|entry| entry.key_id == key_id) {
        return Err(CommandError::KeyIdUsed(key_id.to_owned()));
    }
    let entry = KeyEntry {
        account: account.clone(),
        key_id: key_id.to_owned(),
    };
    document.keys.insert(digest, entry);
    Ok(())
}

fn unknown(kind: &str, name: &(impl ToString + ?Sized)) -> CommandError {
    CommandError::Unknown(format!("{kind} {}", name.to_string()))
}

fn expect_removed<T>(
    removed: Option<T>,
    kind: &str,
    name: &(impl ToString + ?Sized),
) -> Result<(), CommandError> {
    removed.map(drop).ok_or_else(|| unknown(kind, name))
}
