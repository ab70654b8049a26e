//! A proxy stand-in without guarantees, against which the checks of the load driver are tested.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coriander_standin::process::HttpClient;
use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use ntex::web::test::{TestServer, server};
use ntex::web::{self, App, HttpRequest, HttpResponse};

/// Fault that the forwarder applies to each write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardFault {
    /// No fault.
    None,
    /// Acknowledges the write without executing it.
    DropWrite,
    /// Executes the write twice.
    RunTwice,
    /// Executes the write and reports it as not run.
    ReportNotRun,
}

/// Starts a forwarder to members of term 1.
pub async fn start_forwarder(
    members: BTreeMap<String, SocketAddr>,
    fault: ForwardFault,
) -> TestServer {
    server(async move || {
        let members = members.clone();
        let client = HttpClient::create(Duration::from_secs(5)).await;
        App::new().default_service(web::to(move |request: HttpRequest, body: Bytes| {
            forward(members.clone(), client.clone(), fault, (request, body))
        }))
    })
    .await
}

async fn forward(
    members: BTreeMap<String, SocketAddr>,
    client: HttpClient,
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
    if is_insert && fault == ForwardFault::DropWrite {
        return HttpResponse::Ok().json(&serde_json::json!({"baton": "x", "results": []}));
    }
    if is_insert && fault == ForwardFault::RunTwice {
        client
            .send(Method::POST, &url, &headers, body.to_vec())
            .await
            .unwrap();
    }
    let reply = client
        .send(Method::POST, &url, &headers, body.to_vec())
        .await
        .unwrap();
    if is_insert && fault == ForwardFault::ReportNotRun {
        let body = serde_json::json!({"code": "BAD_REQUEST", "outcome": "not_run"});
        return HttpResponse::BadRequest().json(&body);
    }
    HttpResponse::build(StatusCode::from_u16(reply.status).unwrap())
        .header("x-served-by", "a;role=primary;age_ms=0")
        .body(reply.body)
}
