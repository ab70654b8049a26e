//! Helpers of the process tests.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod fleet;
pub mod forwarder;
pub mod write_load;

use coriander_standin::process::{HttpReply, MemberClient, ProcessGroup};
use serde_json::{Value, json};

/// Starts members of one group that are not connected to each other.
pub async fn start_members(
    group: &mut ProcessGroup,
    names: &[&str],
    args: &[&str],
) -> Vec<MemberClient> {
    let mut members = Vec::new();
    for name in names {
        let address = group
            .start_member(name, "orders", "zone-1", args)
            .await
            .unwrap();
        members.push(MemberClient::new(address, group.http_client().clone()));
    }
    members
}

/// Returns a pipeline that executes statements on one stream.
pub fn pipeline(baton: Option<&str>, statements: &[&str], close: bool) -> Value {
    let execute = |sql: &&str| json!({"type": "execute", "stmt": {"sql": sql}});
    let mut requests: Vec<Value> = statements.iter().map(execute).collect();
    if close {
        requests.push(json!({"type": "close"}));
    }
    json!({"baton": baton, "requests": requests})
}

/// Returns the baton of a pipeline response.
pub fn baton(reply: &HttpReply) -> String {
    let body: Value = reply.json().unwrap();
    body["baton"].as_str().unwrap().to_owned()
}

/// Returns the rows of the first statement of a pipeline response.
pub fn rows(reply: &HttpReply) -> Value {
    let body: Value = reply.json().unwrap();
    body["results"][0]["response"]["result"]["rows"].clone()
}

/// Returns the error code of the first statement of a pipeline response.
pub fn statement_code(reply: &HttpReply) -> String {
    let body: Value = reply.json().unwrap();
    body["results"][0]["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Asserts that a request was refused as not run with a code.
pub fn assert_refused(reply: &HttpReply, status: u16, code: &str) {
    let body: Value = reply.json().unwrap();
    assert_eq!((reply.status, body["code"].as_str()), (status, Some(code)));
    assert_eq!(reply.header("x-outcome"), Some("not_run"));
    assert_eq!(body["outcome"], "not_run");
}
