//! Whole commands against scripted instances.

#[path = "../../coriander_consul/tests/scripted_server/mod.rs"]
mod scripted_server;

use argh::FromArgs as _;
use coriander_config::{ChangeCommand, ChangeRequest, ChangeResult, ConfigView, digest_key};
use coriander_core::{ConfigDocument, ConfigVersion};
use corianderctl::{Arguments, ExitCode, run};
use scripted_server::{Answer, ScriptedServer};
use std::net::{SocketAddr, TcpListener};

fn json<T: serde::Serialize>(value: &T) -> Option<Answer> {
    Some(Answer {
        status: 200,
        headers: "content-type: application/json\r\n",
        body: serde_json::to_string(value).expect("encodes"),
    })
}

fn config() -> Option<Answer> {
    json(&ConfigView {
        instance: "i1".parse().expect("valid name"),
        document: ConfigDocument {
            version: ConfigVersion::new(7),
            ..ConfigDocument::default()
        },
        fresh: true,
        age: None,
    })
}

fn accepted() -> Option<Answer> {
    let version = ConfigVersion::new(8);
    json(&ChangeResult::Accepted { version })
}

async fn execute(admin: &[SocketAddr], words: &str) -> (ExitCode, String) {
    let mut all = Vec::new();
    let admin: Vec<_> = admin.iter().map(ToString::to_string).collect();
    for address in &admin {
        all.extend(["--admin", address]);
    }
    all.extend(words.split(' '));
    let arguments = Arguments::from_args(&["corianderctl"], &all).expect("valid arguments");
    let mut output = Vec::new();
    let code = run(&arguments, &mut output).await.expect("a result");
    (code, String::from_utf8(output).expect("text"))
}

fn change(received: &(String, String)) -> ChangeRequest {
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

/// Fails if a lost response makes the tool submit the change under another id.
#[ntex::test]
async fn lost_response_keeps_the_change_id() {
    let first = ScriptedServer::start(vec![config(), None]);
    let second = ScriptedServer::start(vec![accepted()]);
    let (code, text) = execute(&[first.address, second.address], "zone out mohammedia").await;
    assert_eq!(
        (code, text.as_str()),
        (ExitCode::Accepted, "accepted at version 8\n")
    );
    let requests = [change(&first.received()[1]), change(&second.received()[0])];
    assert_eq!(requests[0], requests[1]);
    assert_eq!(requests[0].expected, ConfigVersion::new(7));
}

/// Fails if an instance that refuses connections ends the command.
#[ntex::test]
async fn closed_address_is_skipped() {
    let server = ScriptedServer::start(vec![config(), accepted()]);
    let words = "database add orders";
    let (code, _) = execute(&[closed_address(), server.address], words).await;
    assert_eq!(code, ExitCode::Accepted);
}

/// Fails if "nothing was changed" is printed although an earlier attempt may have changed it.
#[ntex::test]
async fn lost_response_is_never_reported_as_not_made() {
    let first = ScriptedServer::start(vec![config(), None]);
    let not_recorded = || json(&ChangeResult::NotRecorded);
    let second = ScriptedServer::start(vec![not_recorded(), not_recorded()]);
    let words = "zone in mohammedia";
    let (code, text) = execute(&[first.address, second.address], words).await;
    assert_eq!(code, ExitCode::Undetermined, "{text}");
    assert!(
        text.contains("--change-id") && !text.contains("nothing was changed"),
        "{text}"
    );
}

/// Fails if the key leaves the tool in a request, or is not the one whose digest was sent.
#[ntex::test]
async fn key_give_sends_only_the_digest() {
    let server = ScriptedServer::start(vec![config(), accepted()]);
    let (code, text) = execute(&[server.address], "key give orders").await;
    assert_eq!(code, ExitCode::Accepted);
    let key = text
        .lines()
        .find_map(|line| line.strip_prefix("key: "))
        .expect("a key");
    assert_eq!(text.matches(key).count(), 1);
    let received = &server.received()[1];
    assert!(!received.1.contains(key));
    let ChangeCommand::GiveKey { digest, .. } = change(received).change else {
        panic!("not a key");
    };
    assert_eq!(digest, digest_key(key));
}

/// Fails if a key is printed that is not valid.
#[ntex::test]
async fn key_give_prints_no_key_after_conflict() {
    let conflict = json(&ChangeResult::Conflict {
        version: ConfigVersion::new(9),
        winner: "youssef".into(),
        winner_version: ConfigVersion::new(8),
    });
    let server = ScriptedServer::start(vec![config(), conflict]);
    let (code, text) = execute(&[server.address], "key give orders").await;
    assert_eq!(code, ExitCode::Conflict);
    assert!(text.contains("youssef") && text.contains("version 8") && !text.contains("key:"));
}

/// Fails if "accepted" is printed for a change that is only recorded.
#[ntex::test]
async fn unconfirmed_is_not_called_accepted() {
    let unconfirmed = json(&ChangeResult::Unconfirmed {
        version: ConfigVersion::new(8),
        missing: vec![
            "i2".parse().expect("valid name"),
            "i3".parse().expect("valid name"),
        ],
    });
    let server = ScriptedServer::start(vec![config(), unconfirmed]);
    let words = "account set orders --rate 50 --burst 100";
    let (code, text) = execute(&[server.address], words).await;
    assert_eq!(code, ExitCode::Unconfirmed);
    assert_eq!(text, "recorded at version 8, not yet confirmed by i2, i3\n");
}

/// Fails if the tool hangs or succeeds without any instance.
#[ntex::test]
async fn unreachable_has_its_own_code() {
    let (code, _) = execute(&[closed_address()], "show").await;
    assert_eq!(code, ExitCode::Unreachable);
    let (code, _) = execute(&[closed_address()], "--expect 7 zone out mohammedia").await;
    assert_eq!(code, ExitCode::Unreachable);
}

/// Fails if one instance that does not know an id hides the answer of another.
#[ntex::test]
async fn explain_asks_the_next_instance() {
    let unknown = Answer {
        status: 404,
        headers: "",
        body: String::new(),
    };
    let first = ScriptedServer::start(vec![Some(unknown)]);
    let body = r#"{"id":"r1","instance":"i2","steps":[{"after":{"secs":0,"nanos":1500000},
        "part":"routing","text":"chose member b, 40 ms behind"}]}"#;
    let known = Answer {
        status: 200,
        headers: "",
        body: body.into(),
    };
    let second = ScriptedServer::start(vec![Some(known)]);
    let (code, text) = execute(&[first.address, second.address], "explain r1").await;
    assert_eq!(code, ExitCode::Accepted);
    assert!(text.contains("1.500 ms  routing: chose member b"), "{text}");
    assert!(first.received()[0].0.starts_with("GET /admin/explain/r1 "));
}

/// Fails if operators can state addresses or weights, or a limit without its number.
#[test]
fn from_args_refuses_wrong_words() {
    for words in [
        "instance join i1 --peer 10.0.0.1:7000",
        "class set orders --weight 3",
        "account set orders --rate 5",
        "zone sideways mohammedia",
        "class set a/b",
    ] {
        let words: Vec<_> = words.split(' ').collect();
        assert!(
            Arguments::from_args(&["corianderctl"], &words).is_err(),
            "{words:?}"
        );
    }
}

/// Fails if the process does not pass the documented exit code to the shell.
#[test]
fn process_exits_with_documented_codes() {
    let closed = closed_address().to_string();
    let cases: [(&[&str], i32); 4] = [
        (&["--help"], 0),
        (&["zone"], 2),
        (&["show"], 2),
        (&["--admin", &closed, "show"], 5),
    ];
    for (words, expected) in cases {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_corianderctl"))
            .args(words)
            .output()
            .expect("runs");
        assert_eq!(output.status.code(), Some(expected), "{words:?}");
    }
}
