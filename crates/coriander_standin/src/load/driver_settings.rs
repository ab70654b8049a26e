//! Arguments of the load driver.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::DeploymentProfile;

/// Runs the load of a deployment against instances and checks the results.
#[derive(Clone, Debug, FromArgs)]
pub struct DriverSettings {
    /// deployment whose load is run: bennani or karamanlis
    #[argh(option)]
    pub deployment: DeploymentProfile,
    /// caller address of an instance; repeat for each instance
    #[argh(option)]
    pub instance: Vec<SocketAddr>,
    /// length of the run in seconds (default 30)
    #[argh(option, default = "30")]
    pub seconds: u32,
    /// offered load as a percentage of the accounts' rates (default 70)
    #[argh(option, default = "70")]
    pub load_percent: u32,
    /// account that offers five times its rate
    #[argh(option)]
    pub greedy: Option<String>,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// percentage of writes that are interactive transactions (default 5)
    #[argh(option, default = "5")]
    pub transaction_percent: u32,
    /// timeout of a request including its retries, in milliseconds (default 10000)
    #[argh(option, default = "10_000")]
    pub request_limit_ms: u64,
    /// timeout of one attempt of a request, in milliseconds (default 3000)
    #[argh(option, default = "3_000")]
    pub attempt_limit_ms: u64,
    /// key of an account as ACCOUNT=KEY; the default is test-key-of-ACCOUNT
    #[argh(option)]
    pub key: Vec<String>,
    /// file for the JSON report
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// file for the SVG plot
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

impl DriverSettings {
    /// Returns the key of an account.
    pub fn account_key(&self, account: &str) -> String {
        let given = self.key.iter().filter_map(|pair| pair.split_once('='));
        let mut given = given.filter(|(name, _)| *name == account);
        match given.next() {
            Some((_, key)) => key.to_owned(),
            None => DeploymentProfile::account_key(account),
        }
    }
}
