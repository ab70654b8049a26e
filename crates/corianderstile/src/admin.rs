//! HTTP routes for operators: configuration, metrics, state dump and decisions.

use std::rc::Rc;

use coriander_config::{ChangeRequest, ChangeResult};
use ntex::web::types::{Json, Path, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde_json::json;

use crate::proxy::Proxy;

/// Version of the state dump's format; incremented when a field changes its meaning.
const DUMP_VERSION: u32 = 1;

type SharedProxy = State<Rc<Proxy>>;

/// Registers the routes for operators.
pub fn admin_routes(config: &mut ServiceConfig) {
    config
        .route("/health", web::get().to(health))
        .route("/metrics", web::get().to(metrics))
        .route("/dump", web::get().to(dump))
        .route("/admin/config", web::get().to(show_config))
        .route("/admin/change", web::post().to(change))
        .route("/admin/explain/{id}", web::get().to(explain));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn metrics(proxy: SharedProxy) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(proxy.encode_metrics())
}

async fn show_config(proxy: SharedProxy) -> HttpResponse {
    HttpResponse::Ok().json(&proxy.config.view())
}

async fn change(proxy: SharedProxy, request: Json<ChangeRequest>) -> HttpResponse {
    let request = request.into_inner();
    log::info!(
        "admin: {} requests change {} of version {}",
        request.author,
        request.change_id,
        request.expected
    );
    let config = proxy.config.clone();
    // The change continues if the operator's connection is closed.
    let task = ntex::rt::spawn(async move { config.run_change(request).await });
    let result = task.await.unwrap_or(ChangeResult::Undetermined);
    HttpResponse::Ok().json(&result)
}

async fn explain(proxy: SharedProxy, id: Path<String>) -> HttpResponse {
    match proxy.decisions.explain(&id, &proxy.own_id) {
        Some(explanation) => HttpResponse::Ok().json(&explanation),
        None => {
            let message = "this instance has no record of the request";
            HttpResponse::NotFound().json(&json!({ "message": message }))
        }
    }
}

async fn dump(proxy: SharedProxy) -> HttpResponse {
    let document = proxy.config.document();
    let fleet: Vec<_> = document
        .fleet
        .iter()
        .map(|(id, member)| {
            json!({
                "instance": id, "zone": member.zone, "address": member.peer_address,
                "draining": member.draining, "live": proxy.membership.is_live(id),
            })
        })
        .collect();
    let gateways: Vec<_> = proxy
        .gateways
        .list()
        .iter()
        .map(|gateway| gateway.describe())
        .collect();
    let age = proxy.config.confirmed_age();
    HttpResponse::Ok().json(&json!({
        "dump_version": DUMP_VERSION,
        "instance": proxy.own_id,
        "zone": proxy.settings.zone,
        "uptime_ms": proxy.clock.now().since_start().as_millis() as u64,
        "config": {
            "version": document.version, "author": document.author,
            "fresh": age.is_some(), "age_ms": age.map(|age| age.as_millis() as u64),
            "platform_reached": proxy.config.is_platform_reached(),
            "accounts": document.accounts.len(), "keys": document.keys.len(),
            "classes": document.classes, "zones": document.zones,
            "databases": document.databases, "fleet_version": document.fleet_version,
        },
        "ready": proxy.entry.readiness().is_ok(),
        "in_flight": proxy.in_flight(),
        "owned_shards": proxy.rates.owned_shards(),
        "fleet": fleet,
        "gateways": gateways,
    }))
}
