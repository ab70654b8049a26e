//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use coriander_core::{AccountName, ClassName, DatabaseName, InstanceId, WriteCertainty, ZoneName};

/// Operates a fleet of corianderstile instances. Exit codes: 0 accepted or shown, 1 refused,
/// 2 usage, 3 recorded but unconfirmed, 4 conflict, 5 unreachable, 6 undetermined.
#[derive(Clone, Debug, FromArgs, PartialEq)]
pub struct Arguments {
    /// admin address of an instance; may be given several times, the next is tried if one does
    /// not answer
    #[argh(option, arg_name = "address")]
    pub admin: Vec<SocketAddr>,
    /// name under which the change is recorded; default is the user name
    #[argh(option, arg_name = "name")]
    pub author: Option<String>,
    /// version on which the change is based, as printed by show; default is the current one
    #[argh(option, arg_name = "version")]
    pub expect: Option<u64>,
    /// change id of an earlier attempt whose result is undetermined
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
#[allow(missing_docs)]
pub enum Command {
    Class(ClassArguments),
    Account(AccountArguments),
    Key(KeyArguments),
    Zone(ZoneArguments),
    Instance(InstanceArguments),
    Database(DatabaseArguments),
    Show(ShowArguments),
    Explain(ExplainArguments),
    CheckConfig(CheckConfigArguments),
}

/// Sets or removes a class of work.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "class")]
pub struct ClassArguments {
    /// what to do
    #[argh(subcommand)]
    pub action: ClassAction,
}

/// What to do with a class.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
#[allow(missing_docs)]
pub enum ClassAction {
    Set(ClassSet),
    Remove(ClassRemove),
}

/// Sets the target of a class.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "set")]
pub struct ClassSet {
    /// class
    #[argh(positional)]
    pub class: ClassName,
    /// greatest accepted age of the data of reads in milliseconds; default is 0, the newest data
    #[argh(option, default = "0")]
    pub freshness_ms: u64,
    /// time within which requests should be answered in milliseconds; default is 1000
    #[argh(option, default = "1000")]
    pub latency_ms: u64,
    /// members that must hold a write: majority (default) or all
    #[argh(
        option,
        default = "WriteCertainty::Majority",
        from_str_fn(parse_certainty)
    )]
    pub certainty: WriteCertainty,
}

/// Removes a class.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "remove")]
pub struct ClassRemove {
    /// class
    #[argh(positional)]
    pub class: ClassName,
}

/// Sets or removes a client account.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "account")]
pub struct AccountArguments {
    /// what to do
    #[argh(subcommand)]
    pub action: AccountAction,
}

/// What to do with an account.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
#[allow(missing_docs)]
pub enum AccountAction {
    Set(AccountSet),
    Remove(AccountRemove),
}

/// Sets the limits of an account over the whole fleet.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "set")]
pub struct AccountSet {
    /// account
    #[argh(positional)]
    pub account: AccountName,
    /// requests per second
    #[argh(option)]
    pub rate: u32,
    /// requests that may come at once
    #[argh(option)]
    pub burst: u32,
}

/// Removes an account with its keys.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "remove")]
pub struct AccountRemove {
    /// account
    #[argh(positional)]
    pub account: AccountName,
}

/// Gives or withdraws a key.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "key")]
pub struct KeyArguments {
    /// what to do
    #[argh(subcommand)]
    pub action: KeyAction,
}

/// What to do with a key.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
#[allow(missing_docs)]
pub enum KeyAction {
    Give(KeyGive),
    Withdraw(KeyWithdraw),
}

/// Creates a key for an account and prints it once; it cannot be shown again.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "give")]
pub struct KeyGive {
    /// account
    #[argh(positional)]
    pub account: AccountName,
}

/// Withdraws a key; its waiting requests and open transactions end.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "withdraw")]
pub struct KeyWithdraw {
    /// public identifier of the key, as printed by give and show
    #[argh(positional)]
    pub key_id: String,
}

/// Takes an availability zone out of service or returns it.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "zone")]
pub struct ZoneArguments {
    /// what to do
    #[argh(subcommand)]
    pub action: ZoneAction,
}

/// What to do with a zone.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
#[allow(missing_docs)]
pub enum ZoneAction {
    Out(ZoneOut),
    In(ZoneIn),
}

/// Takes a zone out of service.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "out")]
pub struct ZoneOut {
    /// zone
    #[argh(positional)]
    pub zone: ZoneName,
}

/// Returns a zone to service.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "in")]
pub struct ZoneIn {
    /// zone
    #[argh(positional)]
    pub zone: ZoneName,
}

/// Drains an instance or removes a lost one from the fleet.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "instance")]
pub struct InstanceArguments {
    /// what to do
    #[argh(subcommand)]
    pub action: InstanceAction,
}

/// What to do with an instance.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
#[allow(missing_docs)]
pub enum InstanceAction {
    Drain(InstanceDrain),
    Remove(InstanceRemove),
}

/// Asks an instance to finish its work and take no more.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "drain")]
pub struct InstanceDrain {
    /// instance
    #[argh(positional)]
    pub instance: InstanceId,
}

/// Removes an instance that is gone from the fleet that confirms changes.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "remove")]
pub struct InstanceRemove {
    /// instance
    #[argh(positional)]
    pub instance: InstanceId,
}

/// Adds or removes a database.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "database")]
pub struct DatabaseArguments {
    /// what to do
    #[argh(subcommand)]
    pub action: DatabaseAction,
}

/// What to do with a database.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand)]
#[allow(missing_docs)]
pub enum DatabaseAction {
    Add(DatabaseAdd),
    Remove(DatabaseRemove),
}

/// Adds a database.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "add")]
pub struct DatabaseAdd {
    /// database
    #[argh(positional)]
    pub database: DatabaseName,
}

/// Removes a database.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "remove")]
pub struct DatabaseRemove {
    /// database
    #[argh(positional)]
    pub database: DatabaseName,
}

/// Shows the configuration that an instance has applied.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "show")]
pub struct ShowArguments {
    /// prints JSON
    #[argh(switch)]
    pub json: bool,
}

/// Explains why a request or a decision went as it did.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// request id, change id or identifier of a decision
    #[argh(positional)]
    pub id: String,
}

/// Form of the report of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportFormat {
    /// JSON.
    Json,
    /// Lines of text.
    Text,
}

/// Checks a configuration of the platform before it is sent; needs no instance. Exit codes: 0
/// clean, 1 errors, 2 usage, 3 warnings only.
#[derive(Clone, Debug, FromArgs, PartialEq)]
#[argh(subcommand, name = "check-config")]
pub struct CheckConfigArguments {
    /// file with the configuration
    #[argh(positional)]
    pub file: PathBuf,
    /// file with the configuration in force, to show what changes
    #[argh(option, arg_name = "file")]
    pub in_force: Option<PathBuf>,
    /// form of the report: text (default) or json
    #[argh(option, default = "ReportFormat::Text", from_str_fn(parse_format))]
    pub format: ReportFormat,
}

fn parse_format(text: &str) -> Result<ReportFormat, String> {
    match text {
        "json" => Ok(ReportFormat::Json),
        "text" => Ok(ReportFormat::Text),
        _ => Err("format must be text or json".into()),
    }
}

fn parse_certainty(text: &str) -> Result<WriteCertainty, String> {
    match text {
        "majority" => Ok(WriteCertainty::Majority),
        "all" => Ok(WriteCertainty::All),
        _ => Err("certainty must be majority or all".into()),
    }
}
