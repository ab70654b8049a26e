//! Format of Consul requests and responses, and classification of failed writes.

mod scripted_server;

use coriander_consul::{
    ConsulStore, ExpiryBehavior, InstanceRegistration, MemberState, ModifyIndex, PlatformError,
    PlatformStore, PutCondition, PutOutcome, RenewOutcome, SessionId,
};
use scripted_server::{ScriptedResponse, ScriptedServer};
use std::net::TcpListener;
use std::time::Duration;

fn reply(status: u16, body: &str) -> Option<ScriptedResponse> {
    Some(ScriptedResponse {
        status,
        headers: "X-Consul-Index: 42\r\n",
        body: body.into(),
    })
}

async fn start_store(responses: Vec<Option<ScriptedResponse>>) -> (ScriptedServer, ConsulStore) {
    let server = ScriptedServer::start(responses);
    let store = ConsulStore::builder(server.address).build().await;
    (server, store.expect("a store"))
}

/// Fails if values, indexes or sessions are decoded incorrectly.
#[ntex::test]
async fn read_key_decodes_values() {
    let body = r#"[{"LockIndex":1,"Key":"a","Flags":0,"Value":"eyJhIjoxfQ==","CreateIndex":3,
        "ModifyIndex":17,"Session":"s-1"}]"#;
    let (server, store) =
        start_store(vec![reply(200, body), reply(404, ""), reply(200, "junk")]).await;
    let read = store
        .read_key("corianderstile/root")
        .await
        .expect("a reply");
    let value = read.value.expect("a value");
    assert_eq!(value.bytes, br#"{"a":1}"#);
    assert_eq!(value.modify_index, ModifyIndex::new(17));
    assert_eq!(value.session, Some(SessionId::new("s-1")));
    assert_eq!(read.watch_index, ModifyIndex::new(42));
    let wait = Duration::from_millis(500);
    let read = store
        .watch_key("corianderstile/root", ModifyIndex::new(42), wait)
        .await;
    assert_eq!(read.expect("a reply").value, None);
    let read = store.read_key("corianderstile/root").await;
    assert!(
        matches!(read, Err(PlatformError::ResponseLost { .. })),
        "{read:?}"
    );
    let lines: Vec<_> = server
        .received()
        .into_iter()
        .map(|(line, _)| line)
        .collect();
    assert_eq!(
        lines[0],
        "GET /v1/kv/corianderstile/root?consistent HTTP/1.1"
    );
    let watch = "GET /v1/kv/corianderstile/root?consistent&index=42&wait=500ms HTTP/1.1";
    assert_eq!(lines[1], watch);
}

/// Fails if a write with an unknown outcome is reported as one without effect, or the reverse.
#[ntex::test]
async fn put_key_outcomes_classified() {
    let responses = vec![
        reply(200, "true"),
        reply(200, "false\n"),
        reply(403, "Permission denied"),
        reply(413, "Value exceeds limit"),
        None,
    ];
    let (server, store) = start_store(responses).await;
    let put = async |condition| store.put_key("k", b"v", condition).await;
    assert_eq!(put(PutCondition::Absent).await, Ok(PutOutcome::Written));
    let unchanged = PutCondition::Unchanged(ModifyIndex::new(9));
    assert_eq!(put(unchanged).await, Ok(PutOutcome::ConditionFailed));
    for expected in [403, 413] {
        let error = put(PutCondition::Always).await.expect_err("refused");
        assert!(matches!(error, PlatformError::Refused { status, .. } if status == expected));
    }
    let error = put(PutCondition::Always).await.expect_err("lost");
    assert!(error.may_have_taken_effect(), "{error}");
    let lines: Vec<_> = server
        .received()
        .into_iter()
        .map(|(line, _)| line)
        .collect();
    assert_eq!(lines[0], "PUT /v1/kv/k?cas=0 HTTP/1.1");
    assert_eq!(lines[1], "PUT /v1/kv/k?cas=9 HTTP/1.1");
    assert_eq!(server.received()[0].1, "v");
}

/// Fails if a server error on a write, which can still commit, counts as refused.
#[ntex::test]
async fn put_key_server_error_undetermined() {
    let (_server, store) =
        start_store(vec![reply(500, "leadership lost while committing log")]).await;
    let error = store.put_key("k", b"v", PutCondition::Absent).await;
    assert!(error.expect_err("lost").may_have_taken_effect());
}

/// Fails if a refused connection counts as a write that may have taken effect.
#[ntex::test]
async fn put_key_connection_refused_not_sent() {
    let address = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        listener.local_addr().expect("bound address")
    };
    let store = ConsulStore::builder(address)
        .build()
        .await
        .expect("a store");
    let error = store.put_key("k", b"v", PutCondition::Absent).await;
    let error = error.expect_err("not sent");
    assert!(matches!(error, PlatformError::NotSent { .. }), "{error}");
    let error = store.put_key("a?cas=1", b"v", PutCondition::Absent).await;
    assert!(
        matches!(error, Err(PlatformError::NotSent { .. })),
        "name with a query"
    );
}

/// Fails if a platform that does not respond blocks its caller, or if the next address is not used.
#[ntex::test]
async fn put_key_no_response_times_out() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("free port");
    let server = ScriptedServer::start(vec![reply(404, "")]);
    let store = ConsulStore::builder(silent.local_addr().expect("bound address"))
        .address(server.address)
        .call_timeout(Duration::from_millis(200))
        .build()
        .await
        .expect("a store");
    let error = store.put_key("k", b"v", PutCondition::Absent).await;
    assert!(error.expect_err("lost").may_have_taken_effect());
    assert_eq!(store.read_key("k").await.expect("a reply").value, None);
}

/// Fails if calls during an outage are sent without delay.
#[ntex::test]
async fn read_key_paced_after_failures() {
    let responses = (0..20).map(|_| reply(500, "No cluster leader")).collect();
    let (server, store) = start_store(responses).await;
    for _ in 0..200 {
        let result = store.read_key("k").await;
        if let Err(PlatformError::Paced { retry_after }) = result {
            assert!(retry_after > Duration::from_millis(400));
            assert!(
                server.received().len() <= 6,
                "{} calls",
                server.received().len()
            );
            return;
        }
    }
    panic!("no call was paced");
}

/// Fails if leaving state, maintenance or zones are not decoded, or if an invalid entry hides valid
/// ones.
#[ntex::test]
async fn list_service_decodes_entries() {
    let entry = |id: &str, address: &str, meta: &str, check: &str| {
        format!(
            r#"{{"Node":{{"Node":"n","Address":"10.0.0.9"}},"Service":{{"ID":"{id}",
            "Service":"db","Address":"{address}","Port":8080,"Meta":{meta}}},
            "Checks":[{{"CheckID":"{check}","Status":"critical"}}]}}"#
        )
    };
    let body = [
        entry("c", "", r#"{"zone":"piraeus","state":"leaving"}"#, "x"),
        entry(
            "b",
            "10.0.0.2",
            r#"{"zone":"elefsina"}"#,
            "_node_maintenance",
        ),
        entry("a", "::1", "null", "_service_maintenance:a"),
        entry("z", "not an address", "null", "x"),
    ];
    let (_server, store) = start_store(vec![reply(200, &format!("[{}]", body.join(",")))]).await;
    let list = store.list_service("db").await.expect("a list");
    let members: Vec<_> = list
        .members
        .iter()
        .map(|m| (m.id.as_str(), m.address.to_string(), m.state, m.healthy))
        .collect();
    let leaving = MemberState::Leaving;
    assert_eq!(
        members,
        [
            ("a", "[::1]:8080".to_owned(), leaving, true),
            ("b", "10.0.0.2:8080".to_owned(), leaving, true),
            ("c", "10.0.0.9:8080".to_owned(), leaving, false),
        ]
    );
    let zone = list.members[2].zone.as_ref().expect("a zone");
    assert_eq!((zone.as_str(), list.watch_index.get()), ("piraeus", 42));
}

/// Fails if an expired session is reported as renewed, or a registration has no zone or state.
#[ntex::test]
async fn session_and_registration_messages() {
    let responses = vec![
        reply(200, r#"{"ID":"s-1"}"#),
        reply(200, "[]"),
        reply(404, "Session not found"),
        reply(200, "false"),
        reply(200, "true"),
        reply(200, "true"),
    ];
    let (server, store) = start_store(responses).await;
    let ttl = Duration::from_secs(10);
    let session = store
        .create_session("i1", ttl, ExpiryBehavior::Delete)
        .await;
    let session = session.expect("a session");
    assert_eq!(
        store.renew_session(&session).await,
        Ok(RenewOutcome::Renewed)
    );
    assert_eq!(
        store.renew_session(&session).await,
        Ok(RenewOutcome::Expired)
    );
    let put = store.put_key_for_session("k", b"v", &session).await;
    assert_eq!(put, Ok(PutOutcome::ConditionFailed));
    let registration = InstanceRegistration {
        service: "corianderstile".into(),
        instance: "i1".parse().expect("valid name"),
        address: "10.0.0.1:7000".parse().expect("valid address"),
        zone: "piraeus".parse().expect("valid name"),
        state: MemberState::Leaving,
    };
    store
        .register_instance(&registration)
        .await
        .expect("registered");
    store
        .deregister_instance(&registration)
        .await
        .expect("deregistered");
    let received = server.received();
    assert!(
        received[0].1.contains(r#""TTL":"10s","Behavior":"delete""#),
        "{}",
        received[0].1
    );
    assert_eq!(received[3].0, "PUT /v1/kv/k?acquire=s-1 HTTP/1.1");
    let body: serde_json::Value = serde_json::from_str(&received[4].1).expect("JSON");
    assert_eq!(body["Service"]["Meta"]["state"], "leaving");
    assert_eq!(body["Service"]["Meta"]["zone"], "piraeus");
    assert_eq!(body["Node"], "corianderstile-i1");
    assert_eq!(received[5].1, r#"{"Node":"corianderstile-i1"}"#);
}
