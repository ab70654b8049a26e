//! The verb `check-config` with files.

use std::path::{Path, PathBuf};

use argh::FromArgs as _;
use corianderctl::{Arguments, ExitCode, run};

const CLEAN: &str = r#"{"version": 8,
  "routes": [{"host": "orders", "kind": "primary", "service": "records", "timeoutMs": 800}],
  "services": [{"name": "records", "maxConns": 21}],
  "tenants": [{"name": "harbour", "apiKeys": ["j8pjbvk9m68k"], "ratePerS": 50, "burst": 60}]}"#;

fn write(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("check-config-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder");
    let file = folder.join(name);
    std::fs::write(&file, text).expect("file");
    file
}

async fn check(arguments: &[&str]) -> (ExitCode, String) {
    let all: Vec<&str> = ["check-config"].iter().chain(arguments).copied().collect();
    let arguments = Arguments::from_args(&["corianderctl"], &all).expect("valid arguments");
    let mut output = Vec::new();
    let code = run(&arguments, &mut output).await.expect("runs");
    (code, String::from_utf8(output).expect("text"))
}

fn path(file: &Path) -> &str {
    file.to_str().expect("path is text")
}

/// Guards against a check that needs a running fleet.
#[ntex::test]
async fn check_config_without_instances_is_clean() {
    let file = write("clean.json", CLEAN);
    let (code, text) = check(&[path(&file)]).await;
    assert_eq!(
        (code, text.trim()),
        (ExitCode::Accepted, "version 8: 0 findings")
    );
}

#[ntex::test]
async fn check_config_with_unknown_kind_is_refused() {
    let file = write("kind.json", &CLEAN.replace("primary", "primry"));
    let (code, text) = check(&[path(&file)]).await;
    assert_eq!(code, ExitCode::Refused);
    assert!(
        text.contains(r#"error: route "orders": unknown kind "primry""#),
        "{text}"
    );
}

#[ntex::test]
async fn check_config_with_low_burst_warns_as_json() {
    let file = write(
        "burst.json",
        &CLEAN.replace(r#""burst": 60"#, r#""burst": 6"#),
    );
    let in_force = write("in-force.json", CLEAN);
    let (code, text) = check(&[
        path(&file),
        "--in-force",
        path(&in_force),
        "--format",
        "json",
    ])
    .await;
    assert_eq!(code, ExitCode::Unconfirmed);
    assert!(
        text.contains(r#""burst_below_rate""#) && text.contains(r#""limits_changed""#),
        "{text}"
    );
}

/// Guards against an error that does not say where in the file it is.
#[ntex::test]
async fn check_config_with_broken_document_names_the_place() {
    let file = write("broken.json", "{\"version\": 8,\n \"routes\": 3}");
    let (code, text) = check(&[path(&file)]).await;
    assert_eq!(code, ExitCode::Refused);
    assert!(text.contains("line 2 column"), "{text}");
}

#[ntex::test]
async fn check_config_with_missing_file_is_a_usage_error() {
    let (code, text) = check(&["no-such-file.json"]).await;
    assert_eq!(code, ExitCode::Usage);
    assert!(text.contains("cannot be read"), "{text}");
}
