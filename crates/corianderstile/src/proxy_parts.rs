//! Parts of a process that are created before its services.

use std::net::{SocketAddr, UdpSocket as StdUdpSocket};
use std::rc::Rc;
use std::time::Duration;

use coriander_consul::{ConsulStore, PlatformError};
use coriander_core::InstanceId;
use coriander_tokens::SecretKeys;
use coriander_upstream::ResponseBudget;
use tokio::net::{TcpListener, UdpSocket};

use crate::config::ConfigService;
use crate::gateway::GatewayContext;
use crate::process_clock::ProcessClock;
use crate::proxy::StartError;
use crate::rate_service::RateService;
use crate::settings::InstanceSettings;

/// Returns what a gateway needs of the other services.
pub fn gateway_context(
    settings: &InstanceSettings,
    own_id: &InstanceId,
    clock: ProcessClock,
    secrets: &SecretKeys,
    config: &Rc<ConfigService>,
    rates: &Rc<RateService>,
    answers: Rc<dyn ResponseBudget>,
) -> GatewayContext {
    let (key_config, class_config, zone_config) = (config.clone(), config.clone(), config.clone());
    GatewayContext {
        own_id: own_id.clone(),
        own_zone: settings.zone.clone(),
        clock,
        secrets: secrets.clone(),
        bounds: settings.bounds.clone(),
        may_run: Box::new(move |key| key_config.check_key(key)),
        rates: rates.clone(),
        answers,
        class_target: Box::new(move |class| class_config.class_target(class)),
        is_zone_in: Box::new(move |zone| zone_config.is_zone_in(zone)),
    }
}

/// Creates the client of the platform.
pub async fn build_store(settings: &InstanceSettings) -> Result<ConsulStore, PlatformError> {
    let mut addresses = settings.platform_addresses.iter();
    let first = addresses.next().ok_or_else(|| PlatformError::NotSent {
        reason: "no platform address is configured".to_owned(),
    })?;
    let builder = addresses.fold(ConsulStore::builder(*first), |builder, address| {
        builder.address(*address)
    });
    builder
        .call_timeout(Duration::from_millis(800))
        .build()
        .await
}

/// Binds the address for other instances, TCP and UDP.
pub fn bind_peer_address(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = std::net::TcpListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    let socket = StdUdpSocket::bind(address).map_err(listen_error)?;
    socket.set_nonblocking(true).map_err(listen_error)?;
    Ok((
        TcpListener::from_std(listener).map_err(listen_error)?,
        UdpSocket::from_std(socket).map_err(listen_error)?,
    ))
}
