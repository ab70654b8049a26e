//! Complete commands against scripted instances.

#[path = "../../coriander_consul/tests/scripted_server/mod.rs"]
mod scripted_server;

use argh::FromArgs as _;
use coriander_config::{ChangeCommand, ChangeRequest, ChangeResult, ConfigView, digest_key};
use coriander_core::{ConfigDocument, ConfigVersion};
use corianderctl::{Arguments, ExitCode, run};
use scripted_server::{ScriptedResponse, ScriptedServer};
use std::net::{SocketAddr, TcpListener};

fn json_response<T: serde::Serialize>(value: &T) -> Option<ScriptedResponse> {
    Some(ScriptedResponse {
        status: 200,
        headers: "content-type: application/json\r\n",
        body: serde_json::to_string(value).expect("encodes"),
    })
}

fn config_response() -> Option<ScriptedResponse> {
    json_response(&ConfigView {
        instance: "i1".parse().expect("valid name"),
        document: ConfigDocument {
            version: ConfigVersion::new(7),
            ..ConfigDocument::default()
        },
        fresh: true,
        age: None,
    })
}

fn accepted_response() -> Option<ScriptedResponse> {
    let version = ConfigVersion::new(8);
    json_response(&ChangeResult::Accepted { version })
}

async fn run_command(admin: &[SocketAddr], input: &str) -> (ExitCode, String) {
    let mut all = Vec::new();
    let admin: Vec<_> = admin.iter().map(ToString::to_string).collect();
    for address in &admin {
        all.extend(["--admin", address]);
    }
    all.extend(input.split(' '));
    let arguments = Arguments::from_args(&["corianderctl"], &all).expect("valid arguments");
    let mut output = Vec::new();
    let code = run(&arguments, &mut output).await.expect("a result");
    (code, String::from_utf8(output).expect("text"))
}

fn parse_change(received: &(String, String)) -> ChangeRequest {
    assert!(
        received.0.starts_with("POST /admin/change "),
        "{}",
        received.0
    );
    serde_json::from_str(&received.1).expect("valid request")
}

fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("bound address")
}

/// Fails if the change is submitted with another id after a lost response.
#[ntex::test]
async fn submit_lost_response_same_change_id() {
    let first = ScriptedServer::start(vec![config_response(), None]);
    let second = ScriptedServer::start(vec![accepted_response()]);
    let (code, text) = run_command(&[first.address, second.address], "zone out mohammedia").await;
    assert_eq!(
        (code, text.as_str()),
        (ExitCode::Accepted, "accepted at version 8\n")
    );
    let requests = [
        parse_change(&first.received()[1]),
        parse_change(&second.received()[0]),
    ];
    assert_eq!(requests[0], requests[1]);
    assert_eq!(requests[0].expected, ConfigVersion::new(7));
}

/// Fails if an instance that refuses connections ends the command.
#[ntex::test]
async fn submit_closed_address_skipped() {
    let server = ScriptedServer::start(vec![config_response(), accepted_response()]);
    let input = "database add orders";
    let (code, _) = run_command(&[closed_address(), server.address], input).await;
    assert_eq!(code, ExitCode::Accepted);
}

/// Fails if "nothing was changed" is printed although an earlier attempt may have changed it.
#[ntex::test]
async fn submit_lost_response_undetermined() {
    let first = ScriptedServer::start(vec![config_response(), None]);
    let not_recorded = || json_response(&ChangeResult::NotRecorded);
    let second = ScriptedServer::start(vec![not_recorded(), not_recorded()]);
    let input = "zone in mohammedia";
    let (code, text) = run_command(&[first.address, second.address], input).await;
    assert_eq!(code, ExitCode::Undetermined, "{text}");
    assert!(
        text.contains("--change-id") && !text.contains("nothing was changed"),
        "{text}"
    );
}

/// Fails if the key leaves the tool in a request, or is not the one whose digest was sent.
#[ntex::test]
async fn key_give_sends_digest_only() {
    let server = ScriptedServer::start(vec![config_response(), accepted_response()]);
    let (code, text) = run_command(&[server.address], "key give orders").await;
    assert_eq!(code, ExitCode::Accepted);
    let key = text
        .lines()
        .find_map(|line| line.strip_prefix("key: "))
        .expect("a key");
    assert_eq!(text.matches(key).count(), 1);
    let received = &server.received()[1];
    assert!(!received.1.contains(key));
    let ChangeCommand::GiveKey { digest, .. } = parse_change(received).change else {
        panic!("not a key");
    };
    assert_eq!(digest, digest_key(key));
}

/// Fails if a key that is not valid is printed.
#[ntex::test]
async fn key_give_conflict_prints_no_key() {
    let conflict = json_response(&ChangeResult::Conflict {
        version: ConfigVersion::new(9),
        winner: "youssef".into(),
        winner_version: ConfigVersion::new(8),
    });
    let server = ScriptedServer::start(vec![config_response(), conflict]);
    let (code, text) = run_command(&[server.address], "key give orders").await;
    assert_eq!(code, ExitCode::Conflict);
    assert!(text.contains("youssef") && text.contains("version 8") && !text.contains("key:"));
}

/// Fails if "accepted" is printed for a change that is only recorded.
#[ntex::test]
async fn account_set_unconfirmed_reported() {
    let unconfirmed = json_response(&ChangeResult::Unconfirmed {
        version: ConfigVersion::new(8),
        missing: vec![
            "i2".parse().expect("valid name"),
            "i3".parse().expect("valid name"),
        ],
    });
    let server = ScriptedServer::start(vec![config_response(), unconfirmed]);
    let input = "account set orders --rate 50 --burst 100";
    let (code, text) = run_command(&[server.address], input).await;
    assert_eq!(code, ExitCode::Unconfirmed);
    assert_eq!(text, "recorded at version 8, not yet confirmed by i2, i3\n");
}

/// Fails if the tool blocks or succeeds without any instance.
#[ntex::test]
async fn run_unreachable_exit_code() {
    let (code, _) = run_command(&[closed_address()], "show").await;
    assert_eq!(code, ExitCode::Unreachable);
    let (code, _) = run_command(&[closed_address()], "--expect 7 zone out mohammedia").await;
    assert_eq!(code, ExitCode::Unreachable);
}

/// Fails if the response of an instance without the id prevents a request to the next one.
#[ntex::test]
async fn explain_unknown_id_tries_next() {
    let unknown = ScriptedResponse {
        status: 404,
        headers: "",
        body: String::new(),
    };
    let first = ScriptedServer::start(vec![Some(unknown)]);
    let body = r#"{"id":"r1","instance":"i2","steps":[{"after":{"secs":0,"nanos":1500000},
        "part":"routing","text":"chose member b, 40 ms behind"}]}"#;
    let known = ScriptedResponse {
        status: 200,
        headers: "",
        body: body.into(),
    };
    let second = ScriptedServer::start(vec![Some(known)]);
    let (code, text) = run_command(&[first.address, second.address], "explain r1").await;
    assert_eq!(code, ExitCode::Accepted);
    assert!(text.contains("1.500 ms  routing: chose member b"), "{text}");
    assert!(first.received()[0].0.starts_with("GET /admin/explain/r1 "));
}

/// Fails if addresses, weights or a rate without a burst are accepted.
#[test]
fn from_args_invalid_input_refused() {
    for input in [
        "instance join i1 --peer 10.0.0.1:7000",
        "class set orders --weight 3",
        "account set orders --rate 5",
        "zone sideways mohammedia",
        "class set a/b",
    ] {
        let input: Vec<_> = input.split(' ').collect();
        assert!(
            Arguments::from_args(&["corianderctl"], &input).is_err(),
            "{input:?}"
        );
    }
}

/// Fails if the process does not exit with the documented code.
#[test]
fn process_exit_codes() {
    let closed = closed_address().to_string();
    let cases: [(&[&str], i32); 4] = [
        (&["--help"], 0),
        (&["zone"], 2),
        (&["show"], 2),
        (&["--admin", &closed, "show"], 5),
    ];
    for (input, expected) in cases {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_corianderctl"))
            .args(input)
            .output()
            .expect("runs");
        assert_eq!(output.status.code(), Some(expected), "{input:?}");
    }
}
