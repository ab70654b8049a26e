//! The HTTP client with servers that respond, refuse, stall and close the connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::{InstanceId, LogPosition, MemberRole, RequestOutcome, TermNumber};
use coriander_upstream::{
    HttpMember, MemberSettings, NoMemory, PipelineRequest, ResponseBudget, ResponseMemory,
    SendFailure, UpstreamError, UpstreamMember,
};

/// Returns the response to a request.
type Respond = fn(&str) -> String;

const TERM: TermNumber = TermNumber::new(7);

/// Serves each connection once: passes the request to `respond` and writes what it returns.
fn serve(respond: fn(&str) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut request = Vec::new();
            let mut buffer = [0; 4096];
            while !is_complete(&request) {
                let length = stream.read(&mut buffer).expect("request");
                request.extend_from_slice(&buffer[..length]);
            }
            let response = respond(&String::from_utf8_lossy(&request));
            stream.write_all(response.as_bytes()).expect("response");
        }
    });
    address
}

fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.parse().expect("length"))
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    let headers = format!("{headers}connection: close\r\ncontent-length: {length}\r\n");
    format!("HTTP/1.1 {status}\r\n{headers}\r\n{body}")
}

async fn member(address: SocketAddr) -> HttpMember {
    let settings = MemberSettings::default().with_control_timeout(Duration::from_millis(300));
    HttpMember::new(address, settings).await.expect("client")
}

async fn run_pipeline(respond: fn(&str) -> String) -> Result<LogPosition, UpstreamError> {
    let request = PipelineRequest::new(TERM, "{}")
        .with_min_position(LogPosition::new(TERM, 3))
        .with_timeout(Duration::from_millis(300));
    member(serve(respond))
        .await
        .pipeline(request)
        .await
        .map(|reply| reply.log)
}

/// Guards against wrong paths, headers and bodies.
#[ntex::test]
async fn calls_follow_protocol() {
    let member = member(serve(|request| {
        let log = r#""log":{"term":7,"index":4}"#;
        if request.starts_with("GET /group/status ") {
            let body =
                format!(r#"{{"member":"b","term":7,"role":"replica",{log},"primary":null}}"#);
            response("200 OK", "", &body)
        } else if request.starts_with("GET /group/confirm?term=7&index=4&wait_ms=20 ") {
            response(
                "200 OK",
                "",
                &format!(r#"{{"confirmed":true,"term":7,{log}}}"#),
            )
        } else if request.starts_with("POST /group/follow ")
            && request.ends_with(r#"{"term":7,"proposer":"i1","primary_address":"127.0.0.1:9"}"#)
        {
            response(
                "200 OK",
                "",
                &format!(r#"{{"accepted":false,"term":7,{log}}}"#),
            )
        } else {
            response("404 Not Found", "", request)
        }
    }))
    .await;
    let status = member.status().await.expect("status");
    assert_eq!((status.role, status.log.index), (MemberRole::Replica, 4));
    let position = LogPosition::new(TERM, 4);
    let reply = member
        .confirm(position, Duration::from_millis(20))
        .await
        .expect("confirm");
    assert!(reply.confirmed);
    let proposer: InstanceId = "i1".parse().expect("name");
    let reply = member
        .follow(TERM, &proposer, "127.0.0.1:9")
        .await
        .expect("follow");
    assert!(!reply.accepted);
}

/// Guards against requests and replies without term and position headers.
#[ntex::test]
async fn pipeline_carries_term_and_position() {
    let log = run_pipeline(|request| {
        let request = request.to_lowercase();
        if request.contains("x-group-term: 7\r\n") && request.contains("x-min-position: 7.3\r\n") {
            response("200 OK", "x-group-term: 7\r\nx-log-position: 7.5\r\n", "{}")
        } else {
            response("404 Not Found", "", &request)
        }
    });
    assert_eq!(log.await.expect("reply"), LogPosition::new(TERM, 5));
}

/// Guards against a refused connection that is reported as another error than not sent.
#[ntex::test]
async fn pipeline_connection_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let result = member(address)
        .await
        .pipeline(PipelineRequest::new(TERM, "{}"))
        .await;
    assert_eq!(
        result.expect_err("error"),
        UpstreamError::NotSent(SendFailure::Refused)
    );
}

/// Guards against an outcome "not run" without the member's outcome header, and the reverse.
#[ntex::test]
async fn pipeline_refusal_needs_header() {
    let refused = run_pipeline(|_| {
        let headers = "x-outcome: not_run\r\nx-group-term: 8\r\n";
        response(
            "409 Conflict",
            headers,
            r#"{"code":"TERM_CHANGED","message":"term is 8"}"#,
        )
    });
    let UpstreamError::Refused(refusal) = refused.await.expect_err("error") else {
        panic!("the member reported that nothing was run");
    };
    assert_eq!(
        (refusal.code.as_str(), refusal.term),
        ("TERM_CHANGED", Some(TermNumber::new(8)))
    );
    let failed = run_pipeline(|_| response("409 Conflict", "", "{}"))
        .await
        .expect_err("error");
    assert_eq!(failed.outcome(), RequestOutcome::Unknown);
}

/// Guards against an outcome "not run" after the request was sent: the connection is closed, the
/// member does not respond in time, the response is incomplete or lacks headers.
#[ntex::test]
async fn pipeline_lost_response_is_unknown() {
    let cases: [fn(&str) -> String; 4] = [
        |_| String::new(),
        |_| {
            thread::sleep(Duration::from_millis(600));
            String::new()
        },
        |_| "HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx-group-term: 7\r\n\r\n{".to_owned(),
        |_| response("200 OK", "", "{}"),
    ];
    for (number, respond) in cases.into_iter().enumerate() {
        let error = run_pipeline(respond).await.expect_err("error");
        assert_eq!(
            error.outcome(),
            RequestOutcome::Unknown,
            "case {number}: {error}"
        );
    }
}

/// Grants memory for bodies of up to 4 bytes.
struct SmallBudget;

#[async_trait(?Send)]
impl ResponseBudget for SmallBudget {
    async fn reserve(&self, body_bytes: usize) -> Result<ResponseMemory, NoMemory> {
        if body_bytes > 4 {
            return Err(NoMemory);
        }
        Ok(Some(Rc::new(body_bytes)))
    }
}

/// Guards against responses that are read without memory, also if they do not announce a length.
#[ntex::test]
async fn pipeline_waits_for_memory() {
    let cases: [(Respond, bool); 3] = [
        (
            |_| response("200 OK", "x-group-term: 7\r\nx-log-position: 7.4\r\n", "{}"),
            true,
        ),
        (
            |_| {
                response(
                    "200 OK",
                    "x-group-term: 7\r\nx-log-position: 7.4\r\n",
                    "{     }",
                )
            },
            false,
        ),
        (
            |_| {
                "HTTP/1.1 200 OK\r\nx-group-term: 7\r\nx-log-position: 7.4\r\n\
                 transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
                    .to_owned()
            },
            false,
        ),
    ];
    for (respond, is_read) in cases {
        let member = member(serve(respond))
            .await
            .with_budget(Rc::new(SmallBudget));
        let request = PipelineRequest::new(TERM, "{}").with_timeout(Duration::from_millis(300));
        let memory = member.pipeline(request).await.map(|reply| reply.memory);
        match memory {
            Ok(memory) => assert!(is_read && memory.is_some()),
            Err(error) => {
                assert!(!is_read, "{error}");
                assert_eq!(error, UpstreamError::NoMemory);
                assert_eq!(error.outcome(), RequestOutcome::Unknown);
            }
        }
    }
}
