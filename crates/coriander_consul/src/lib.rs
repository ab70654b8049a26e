//! Key-value store interface and Consul HTTP client.
//!
//! [`PlatformStore`] is the interface that other crates use; [`ConsulStore`] implements it over
//! the published Consul HTTP interface. Errors state whether a write may have taken effect. All
//! calls of an instance go through one [`CallPacer`], which limits the load on the platform
//! during and after an outage.
//!
//! ```no_run
//! use coriander_consul::{ConsulStore, PlatformError, PlatformStore, PutCondition};
//!
//! async fn write_once() -> Result<(), PlatformError> {
//!     let address = "127.0.0.1:8500".parse().expect("valid address");
//!     let store = ConsulStore::builder(address).build().await?;
//!     match store.put_key("corianderstile/root", b"{}", PutCondition::Absent).await {
//!         Ok(outcome) => println!("response: {outcome:?}"),
//!         Err(error) if error.may_have_taken_effect() => {
//!             println!("read back: {:?}", store.read_key("corianderstile/root").await?);
//!         }
//!         Err(error) => println!("had no effect: {error}"),
//!     }
//!     Ok(())
//! }
//! ```

mod call_pacer;
mod consul_messages;
mod consul_request;
mod consul_store;
mod platform_error;
mod platform_store;
mod platform_types;

pub use call_pacer::{CallPacer, CallPermit, PacerSettings};
pub use consul_store::{ConsulBuilder, ConsulStore};
pub use platform_error::PlatformError;
pub use platform_store::PlatformStore;
pub use platform_types::{
    ExpiryBehavior, InstanceRegistration, KeyRead, MemberState, ModifyIndex, PutCondition,
    PutOutcome, RenewOutcome, ServiceList, ServiceMember, SessionId, StoredValue,
};
