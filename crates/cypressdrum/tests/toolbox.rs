//! The `key` and `check` commands, and the `--check` flag of daemons.

use configuration::{ClusterConfiguration, KeyRole};
use cypressdrum::key::{KeyError, Role, new_key};
use cypressdrum::{Exit, check};
use std::path::{Path, PathBuf};
use std::process::Command;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn new_key_matches_its_own_secret_only() {
    let id = || "editors".parse().unwrap();
    let tenant = || Some("editors".parse().unwrap());
    let one = new_key(id(), Role::Caller, tenant()).unwrap();
    let other = new_key(id(), Role::Caller, tenant()).unwrap();
    assert_ne!(one.token, other.token);
    assert_eq!(one.key.role, KeyRole::Caller("editors".parse().unwrap()));
    let secret = one.token.strip_prefix("editors.").unwrap();
    assert!(one.key.hash.matches(secret.as_bytes()));
    assert!(!other.key.hash.matches(secret.as_bytes()));
    let document = ClusterConfiguration {
        keys: vec![one.key],
        ..ClusterConfiguration::default()
    };
    assert_eq!(document.keys.len(), 1);
}

#[test]
fn key_requires_tenant_for_callers_only() {
    let id = || "key".parse().unwrap();
    let caller = new_key(id(), Role::Caller, None);
    assert_eq!(caller.err(), Some(KeyError::NoTenant));
    let operator = new_key(id(), Role::Operator, Some("poster".parse().unwrap()));
    assert_eq!(operator.err(), Some(KeyError::Tenant));
}

#[test]
fn check_exit_code_follows_history() {
    let finished = r#"{"at":1,"observer":"lab","event":"finished"}"#;
    let acknowledged = r#"{"at":0,"observer":"caller","event":"submit_acknowledged",
        "job":{"tenant":"poster","job":"sheet-1"}}"#;
    let lost = format!(
        "{}\n{}\n",
        acknowledged.replace('\n', ""),
        finished.replace(":1", ":60000")
    );
    for (name, text, exit) in [
        ("finished.jsonl", finished, Exit::Done),
        ("lost.jsonl", lost.as_str(), Exit::PromiseBroken),
        ("wrong.jsonl", "{\"at\":1}\n", Exit::Usage),
    ] {
        let path = write_file(name, text);
        assert_eq!(check::run(&path), exit, "{name}");
    }
    assert_eq!(check::run(Path::new("no/such/history")), Exit::Usage);
}

fn run_program(arguments: &[&str]) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_cypressdrum");
    let output = Command::new(program).args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

#[test]
fn check_flag_reports_every_settings_problem() {
    let key = write_file("cluster.key", &"k".repeat(32));
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let settings = examples.join("coordinator.toml");
    let arguments = [
        "coordinator",
        "--check",
        "--settings",
        settings.to_str().unwrap(),
        "--cluster-key-file",
        key.to_str().unwrap(),
    ];
    let (code, text) = run_program(&arguments);
    assert_eq!(code, Some(i32::from(Exit::Done.code())), "{text}");

    let invalid = [&arguments[..], &["--zone", "a b", "--log-level", "loud"]].concat();
    let (code, text) = run_program(&invalid);
    assert_eq!(code, Some(i32::from(Exit::Usage.code())));
    assert!(text.contains("--zone: zone"), "{text}");
    assert!(text.contains("--log-level: log.level"), "{text}");
}

#[test]
fn unknown_flag_is_usage_error() {
    let (code, _) = run_program(&["coordinator", "--no-such-flag"]);
    assert_eq!(code, Some(i32::from(Exit::Usage.code())));
}
