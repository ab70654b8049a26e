//! Builds the change of a command.

use std::time::Duration;

use coriander_config::{ChangeCommand, digest_key};
use coriander_core::{AccountLimits, AccountName, ClassTarget};

use crate::arguments::{
    AccountAction, ClassAction, Command, DatabaseAction, InstanceAction, KeyAction, ZoneAction,
};

/// Number of random bytes of a key.
const KEY_BYTES: usize = 32;
/// Number of random bytes of the public identifier of a key.
const KEY_ID_BYTES: usize = 6;

/// A change to submit, with the new key if the change adds one.
#[derive(Clone, Debug, PartialEq)]
pub struct PreparedChange {
    /// The change.
    pub change: ChangeCommand,
    /// Key to print once.
    pub new_key: Option<NewKey>,
}

/// A new key, which the tool prints once. Only its digest is sent to an instance.
#[derive(Clone, PartialEq)]
pub struct NewKey {
    /// Public identifier.
    pub key_id: String,
    /// The key.
    pub key: String,
}

impl std::fmt::Debug for NewKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "NewKey({})", self.key_id)
    }
}

/// Returns the change that a command makes; `None` if it only reads.
pub fn prepare_change(command: &Command) -> Option<PreparedChange> {
    let change = match command {
        Command::Key(key) => match &key.action {
            KeyAction::Give(give) => return Some(build_key_change(&give.account)),
            KeyAction::Withdraw(withdraw) => ChangeCommand::WithdrawKey {
                key_id: withdraw.key_id.clone(),
            },
        },
        Command::Class(class) => build_class_change(&class.action),
        Command::Account(account) => build_account_change(&account.action),
        Command::Zone(zone) => match &zone.action {
            ZoneAction::Out(zone_out) => ChangeCommand::ZoneOut {
                zone: zone_out.zone.clone(),
            },
            ZoneAction::In(zone_in) => ChangeCommand::ZoneIn {
                zone: zone_in.zone.clone(),
            },
        },
        Command::Instance(instance) => match &instance.action {
            InstanceAction::Drain(drain) => ChangeCommand::DrainInstance {
                instance: drain.instance.clone(),
            },
            InstanceAction::Remove(remove) => ChangeCommand::LeaveFleet {
                instance: remove.instance.clone(),
            },
        },
        Command::Database(database) => match &database.action {
            DatabaseAction::Add(add) => ChangeCommand::AddDatabase {
                database: add.database.clone(),
            },
            DatabaseAction::Remove(remove) => ChangeCommand::RemoveDatabase {
                database: remove.database.clone(),
            },
        },
        Command::CheckConfig(_) | Command::Explain(_) | Command::Show(_) => return None,
    };
    Some(PreparedChange {
        change,
        new_key: None,
    })
}

/// Returns a new random change id.
pub fn new_change_id() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}

fn build_class_change(action: &ClassAction) -> ChangeCommand {
    match action {
        ClassAction::Set(set) => ChangeCommand::SetClass {
            class: set.class.clone(),
            target: ClassTarget {
                freshness: Duration::from_millis(set.freshness_ms),
                latency: Duration::from_millis(set.latency_ms),
                certainty: set.certainty,
            },
        },
        ClassAction::Remove(remove) => ChangeCommand::RemoveClass {
            class: remove.class.clone(),
        },
    }
}

fn build_account_change(action: &AccountAction) -> ChangeCommand {
    match action {
        AccountAction::Set(set) => ChangeCommand::SetAccount {
            account: set.account.clone(),
            limits: AccountLimits {
                rate: set.rate,
                burst: set.burst,
            },
        },
        AccountAction::Remove(remove) => ChangeCommand::RemoveAccount {
            account: remove.account.clone(),
        },
    }
}

fn build_key_change(account: &AccountName) -> PreparedChange {
    let key = hex::encode(rand::random::<[u8; KEY_BYTES]>());
    let key_id = hex::encode(rand::random::<[u8; KEY_ID_BYTES]>());
    let change = ChangeCommand::GiveKey {
        account: account.clone(),
        key_id: key_id.clone(),
        digest: digest_key(&key),
    };
    let new_key = Some(NewKey { key_id, key });
    PreparedChange { change, new_key }
}
