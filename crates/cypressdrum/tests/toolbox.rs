//! Keys, settings checks and histories.

use configuration::{ClusterConfiguration, KeyRole};
use cypressdrum::key::{KeyError, Role, new_key};
use cypressdrum::{Exit, check};
use std::path::{Path, PathBuf};
use std::process::Command;

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn a_new_key_opens_with_its_token_and_no_two_are_alike() {
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
fn role_and_tenant_must_go_together() {
    let id = || "key".parse().unwrap();
    let caller = new_key(id(), Role::Caller, None);
    assert_eq!(caller.err(), Some(KeyError::NoTenant));
    let operator = new_key(id(), Role::Operator, Some("poster".parse().unwrap()));
    assert_eq!(operator.err(), Some(KeyError::Tenant));
}

#[test]
fn check_ends_by_what_the_history_shows() {
    let calm = r#"{"at":1,"observer":"lab","event":"finished"}"#;
    let acknowledged = r#"{"at":0,"observer":"caller","event":"submit_acknowledged",
        "job":{"tenant":"poster","job":"sheet-1"}}"#;
    let lost = format!(
        "{}\n{}\n",
        acknowledged.replace('\n', ""),
        calm.replace(":1", ":60000")
    );
    for (name, text, exit) in [
        ("calm.jsonl", calm, Exit::Done),
        ("lost.jsonl", lost.as_str(), Exit::PromiseBroken),
        ("wrong.jsonl", "{\"at\":1}\n", Exit::Usage),
    ] {
        let path = file(name, text);
        assert_eq!(check::run(&path), exit, "{name}");
    }
    assert_eq!(check::run(Path::new("no/such/history")), Exit::Usage);
}

fn cypressdrum(arguments: &[&str]) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_cypressdrum");
    let output = Command::new(program).args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

#[test]
fn check_reads_settings_and_tells_every_problem() {
    let key = file("cluster.key", &"k".repeat(32));
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
    let (code, text) = cypressdrum(&arguments);
    assert_eq!(code, Some(i32::from(Exit::Done.code())), "{text}");

    let wrong = [&arguments[..], &["--zone", "a b", "--log-level", "loud"]].concat();
    let (code, text) = cypressdrum(&wrong);
    assert_eq!(code, Some(i32::from(Exit::Usage.code())));
    assert!(text.contains("--zone: zone"), "{text}");
    assert!(text.contains("--log-level: log.level"), "{text}");
}

#[test]
fn an_unknown_flag_is_a_usage_error() {
    let (code, _) = cypressdrum(&["coordinator", "--no-such-flag"]);
    assert_eq!(code, Some(i32::from(Exit::Usage.code())));
}
