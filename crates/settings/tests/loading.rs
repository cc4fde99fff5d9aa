//! Loading of settings from files and flags, and the problems reported.

use settings::{
    AgentSettings, CoordinatorSettings, GatewaySettings, LogLevel, Override, RoleSettings,
    SettingsError, Source, load,
};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

const SECRET: &str = "0123456789abcdef0123456789abcdef";

/// Creates the folder of one test.
fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn write(path: &Path, text: &str) -> PathBuf {
    std::fs::write(path, text).unwrap();
    path.to_owned()
}

/// Writes a settings file of a coordinator: the required keys, followed by `rest`.
fn coordinator_file(test: &str, rest: &str) -> Source {
    let folder = folder(test);
    let key = write(&folder.join("cluster.key"), &format!("{SECRET}\n"));
    let text = format!(
        r#"
        zone = "a"
        listen = "127.0.1.1:7101"
        admin_listen = "127.0.1.1:7180"
        seeds = ["127.0.1.1:7101", "127.0.1.2:7101", "127.0.1.3:7101"]
        cluster_key_file = {key:?}
        data = "data"
        {rest}
        "#
    );
    Source {
        file: Some(write(&folder.join("coordinator.toml"), &text)),
        overrides: Vec::new(),
    }
}

fn problems(result: Result<CoordinatorSettings, SettingsError>) -> Vec<String> {
    let problems = result.unwrap_err().problems;
    problems.iter().map(ToString::to_string).collect()
}

fn assert_mentions(problems: &[String], parts: &[&str]) {
    let found = problems
        .iter()
        .any(|problem| parts.iter().all(|part| problem.contains(part)));
    assert!(found, "no problem mentions {parts:?} in {problems:#?}");
}

#[test]
fn absent_keys_have_the_documented_defaults() {
    let settings: CoordinatorSettings = load(&coordinator_file("defaults", "")).unwrap();
    assert_eq!(settings.initial_coordinators, 3);
    assert_eq!(settings.node.advertise, settings.node.listen);
    assert_eq!(settings.timings.election_timeout_ms, 1_000);
    assert_eq!(settings.timings.leader_lease_ms, 800);
    assert_eq!(settings.node.grace_ms, 10_000);
    assert_eq!(settings.node.log.level, LogLevel::Info);
}

#[test]
fn secret_excludes_trailing_line_break_and_is_not_printed() {
    let settings: CoordinatorSettings = load(&coordinator_file("secret", "")).unwrap();
    assert_eq!(settings.node.cluster_key.bytes(), SECRET.as_bytes());
    assert!(!format!("{settings:?}").contains(SECRET));
}

#[test]
fn flags_override_the_file() {
    let mut source = coordinator_file("flags", "[log]\nlevel = \"warn\"");
    source.overrides = vec![
        Override::text("--zone", "zone", "b"),
        Override::text("--log-level", "log.level", "debug"),
        Override::parse("--set", "timings.session_lease_ms = 3000").unwrap(),
    ];
    let settings: CoordinatorSettings = load(&source).unwrap();
    assert_eq!(settings.node.zone.as_str(), "b");
    assert_eq!(settings.node.log.level, LogLevel::Debug);
    assert_eq!(settings.timings.session_lease_ms, 3_000);
}

#[test]
fn all_problems_are_reported_at_once_with_their_locations() {
    let mut source = coordinator_file(
        "problems",
        r#"
        initial_coordinators = 4
        colour = "green"
        [timings]
        leader_lease_ms = 1200
        session_lease_ms = "long"
        elections = 3
        [log]
        level = "loud"
        "#,
    );
    source.overrides = vec![
        Override::list("--seeds", "seeds", vec!["127.0.1.1:7101".to_owned()]),
        Override::text("--zone", "zone", "no spaces"),
    ];
    let problems = problems(load(&source));
    assert_mentions(&problems, &["--zone: zone", "letters"]);
    assert_mentions(&problems, &["--seeds: seeds", "needs 3"]);
    assert_mentions(
        &problems,
        &["coordinator.toml: initial_coordinators", "even"],
    );
    assert_mentions(&problems, &["coordinator.toml: colour", "not a known key"]);
    assert_mentions(&problems, &["timings.leader_lease_ms", "less than"]);
    assert_mentions(&problems, &["timings.session_lease_ms"]);
    assert_mentions(&problems, &["timings.elections", "not a known key"]);
    assert_mentions(&problems, &["log.level"]);
    assert_eq!(problems.len(), 8, "{problems:#?}");
}

#[test]
fn empty_file_reports_all_required_keys() {
    let file = write(&folder("empty").join("empty.toml"), "");
    let source = Source {
        file: Some(file),
        overrides: Vec::new(),
    };
    let problems = problems(load(&source));
    for key in [
        "zone",
        "listen",
        "seeds",
        "cluster_key_file",
        "admin_listen",
        "data",
    ] {
        assert_mentions(&problems, &[&format!("empty.toml: {key}"), "is missing"]);
    }
    assert_eq!(problems.len(), 6, "{problems:#?}");
}

#[test]
fn short_secret_is_rejected_and_not_printed() {
    let folder = folder("short");
    let mut source = coordinator_file("short", "");
    let key = write(&folder.join("short.key"), "hunter2\n");
    let flag = Override::text(
        "--cluster-key-file",
        "cluster_key_file",
        key.to_str().unwrap(),
    );
    source.overrides = vec![flag];
    let problems = problems(load(&source));
    assert_mentions(&problems, &["cluster_key_file", "7 bytes", "at least 32"]);
    assert!(!problems[0].contains("hunter2"));
}

#[test]
fn secret_in_the_settings_is_an_unknown_key() {
    let mut source = coordinator_file("inline", "");
    source.overrides = vec![Override::parse("--set", "cluster_key=abc").unwrap()];
    assert_mentions(
        &problems(load(&source)),
        &["--set: cluster_key", "not a known key"],
    );
}

#[test]
fn unspecified_listen_address_needs_an_advertised_one() {
    let mut source = coordinator_file("advertise", "");
    source.overrides = vec![Override::text("--listen", "listen", "0.0.0.0:7101")];
    assert_mentions(&problems(load(&source)), &["advertise", "cannot reach"]);
    let advertised = Override::text("--advertise", "advertise", "127.0.1.1:7101");
    source.overrides.push(advertised);
    load::<CoordinatorSettings>(&source).unwrap();
}

#[test]
fn malformed_and_absent_files_are_reported_by_path() {
    let broken = write(&folder("broken").join("broken.toml"), "zone = = 1");
    for (file, part) in [
        (broken, "is not TOML"),
        (PathBuf::from("no/such/file.toml"), "cannot be read"),
    ] {
        let name = file.display().to_string();
        let source = Source {
            file: Some(file),
            overrides: Vec::new(),
        };
        assert_mentions(&problems(load(&source)), &[&name, part]);
    }
}

#[test]
fn only_the_log_level_differs_after_with_log_level() {
    let settings: CoordinatorSettings = load(&coordinator_file("level", "")).unwrap();
    let other = settings.clone().with_log_level(LogLevel::Trace);
    assert_ne!(settings, other);
    assert_eq!(other.with_log_level(LogLevel::Info), settings);
}

#[test]
fn override_without_equals_sign_or_key_is_rejected() {
    assert!(Override::parse("--set", "zone").is_err());
    assert!(Override::parse("--set", "=a").is_err());
}

static EXAMPLES_LOADED: AtomicU64 = AtomicU64::new(0);

fn example<S: RoleSettings>(name: &str) -> S {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    // Concurrent tests load the same example; each call writes its own key file.
    let call = EXAMPLES_LOADED.fetch_add(1, Ordering::Relaxed);
    let key = write(
        &folder("examples").join(format!("{name}-{call}.key")),
        SECRET,
    );
    let flag = Override::text(
        "--cluster-key-file",
        "cluster_key_file",
        key.to_str().unwrap(),
    );
    let source = Source {
        file: Some(examples.join(format!("{name}.toml"))),
        overrides: vec![flag],
    };
    load(&source).unwrap()
}

#[test]
fn example_files_load_unchanged() {
    example::<CoordinatorSettings>("coordinator");
    example::<GatewaySettings>("gateway");
    example::<AgentSettings>("agent");
}

/// Uncomments all commented keys.
fn uncomment_keys(text: &str) -> String {
    let is_key = |line: &str| line.starts_with("# ") && line.contains(" = ");
    let lines = text
        .lines()
        .map(|line| if is_key(line) { &line[2..] } else { line });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn commented_keys_of_the_examples_are_known_and_show_the_defaults() {
    fn check<S: RoleSettings + std::fmt::Debug>(name: &str) {
        let path = format!("../../examples/settings/{name}.toml");
        let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path));
        let folder = folder("uncommented");
        let full = write(
            &folder.join(format!("{name}.toml")),
            &uncomment_keys(&text.unwrap()),
        );
        let key = write(&folder.join(format!("{name}.key")), SECRET);
        let flag = Override::text(
            "--cluster-key-file",
            "cluster_key_file",
            key.to_str().unwrap(),
        );
        let source = Source {
            file: Some(full),
            overrides: vec![flag],
        };
        assert_eq!(load::<S>(&source).unwrap(), example::<S>(name));
    }
    check::<CoordinatorSettings>("coordinator");
    check::<GatewaySettings>("gateway");
    check::<AgentSettings>("agent");
}
