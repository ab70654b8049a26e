//! A front without any guarantee, which lets the load driver's checks be tested.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coriander_standin::process::HttpCaller;
use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use ntex::web::test::{TestServer, server};
use ntex::web::{self, App, HttpRequest, HttpResponse};

/// What the forwarder does wrong with each write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardFault {
    /// Nothing.
    None,
    /// Acknowledges without executing.
    Lose,
    /// Executes twice.
    Double,
    /// Executes and reports that it did not run.
    Deny,
}

/// Starts a forwarder to members of term 1.
pub async fn start_forwarder(
    members: BTreeMap<String, SocketAddr>,
    fault: ForwardFault,
) -> TestServer {
    server(async move || {
        let members = members.clone();
        let caller = HttpCaller::create(Duration::from_secs(5)).await;
        App::new().default_service(web::to(move |request: HttpRequest, body: Bytes| {
            forward(members.clone(), caller.clone(), fault, (request, body))
        }))
    })
    .await
}

async fn forward(
    members: BTreeMap<String, SocketAddr>,
    caller: HttpCaller,
    fault: ForwardFault,
    (request, body): (HttpRequest, Bytes),
) -> HttpResponse {
    if request.path() == "/ready" {
        return HttpResponse::Ok().finish();
    }
    let database = request
        .headers()
        .get("x-namespace")
        .unwrap()
        .to_str()
        .unwrap();
    let url = format!("http://{}/v3/pipeline", members[database]);
    let headers = [("x-group-term", "1")];
    let is_insert = String::from_utf8_lossy(&body).contains("INSERT");
    if is_insert && fault == ForwardFault::Lose {
        return HttpResponse::Ok().json(&serde_json::json!({"baton": "x", "results": []}));
    }
    if is_insert && fault == ForwardFault::Double {
        caller
            .call(Method::POST, &url, &headers, body.to_vec())
            .await
            .unwrap();
    }
    let reply = caller
        .call(Method::POST, &url, &headers, body.to_vec())
        .await
        .unwrap();
    if is_insert && fault == ForwardFault::Deny {
        let body = serde_json::json!({"code": "BAD_REQUEST", "outcome": "not_run"});
        return HttpResponse::BadRequest().json(&body);
    }
    HttpResponse::build(StatusCode::from_u16(reply.status).unwrap())
        .header("x-served-by", "a;role=primary;age_ms=0")
        .body(reply.body)
}
