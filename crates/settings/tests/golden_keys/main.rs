//! Comparison of all settings keys and their defaults with recorded text. Guards
//! against a key in the settings file that changes when its Rust field is renamed.
//!
//! `golden/<role>.txt` lists the keys with their defaults, `<role>_minimal.toml`
//! contains the required keys, and `<role>.toml` sets each key to a value other than
//! its default.

mod keyed;

use keyed::{Keyed, SECRET_KEY, Values, draw_name};
use settings::{
    AgentSettings, CoordinatorSettings, DrawSetting, GatewaySettings, LogFormat, LogLevel,
    Override, Source, load,
};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use toml::Value;

/// Text in the list of keys in place of a default.
const REQUIRED: &str = "(required)";

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn text(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap()
}

/// Panics if the text differs from the recorded one, with the first line that differs
/// and the whole text.
fn assert_text(name: &str, actual: &str) {
    let recorded = text(name);
    if recorded == actual {
        return;
    }
    let pairs = recorded.lines().zip(actual.lines());
    let same = pairs.take_while(|(old, new)| old == new).count();
    let line = |text: &str| text.lines().nth(same).unwrap_or("(no line)").to_owned();
    panic!(
        "{name} differs from line {} on\nrecorded: {}\nactual:   {}\nwhole text:\n{actual}",
        same + 1,
        line(&recorded),
        line(actual),
    );
}

fn minimal_file<S: Keyed>() -> String {
    format!("{}_minimal.toml", S::ROLE)
}

fn full_file<S: Keyed>() -> String {
    format!("{}.toml", S::ROLE)
}

fn source(file: &str, overrides: Vec<Override>) -> Source {
    Source {
        file: Some(path(file)),
        overrides,
    }
}

fn load_values<S: Keyed>(file: &str, overrides: Vec<Override>) -> Values {
    let settings: S = load(&source(file, overrides)).unwrap_or_else(|error| panic!("{error}"));
    settings.values()
}

/// Returns the values in a file by key, as written there.
fn file_values(file: &str) -> Values {
    let mut values = Values::new();
    let table: toml::Table = toml::from_str(&text(file)).unwrap();
    for (key, value) in table {
        match value {
            Value::Table(inner) => {
                let inner = inner.into_iter();
                values.extend(inner.map(|(name, value)| (format!("{key}.{name}"), value)));
            }
            value => {
                values.insert(key, value);
            }
        }
    }
    values
}

/// Replaces the path of the secret file by its content, as settings hold it.
fn with_secret(mut values: Values) -> Values {
    if let Some(file) = values.get_mut(SECRET_KEY) {
        let name = Path::new(file.as_str().unwrap()).file_name().unwrap();
        let secret = text(name.to_str().unwrap());
        *file = Value::from(secret.trim_end());
    }
    values
}

/// Lists the keys with their defaults, one per line.
fn list_defaults<S: Keyed>() -> String {
    let required = file_values(&minimal_file::<S>());
    let values = load_values::<S>(&minimal_file::<S>(), Vec::new());
    let lines = values.iter().map(|(key, value)| match required.get(key) {
        Some(_) => format!("{key} = {REQUIRED}\n"),
        None => format!("{key} = {value}\n"),
    });
    lines.collect()
}

fn check_defaults<S: Keyed>() {
    assert_text(&format!("{}.txt", S::ROLE), &list_defaults::<S>());
}

#[test]
fn keys_of_each_role_have_the_recorded_defaults() {
    check_defaults::<CoordinatorSettings>();
    check_defaults::<GatewaySettings>();
    check_defaults::<AgentSettings>();
}

fn check_full_file<S: Keyed>() {
    let full = with_secret(file_values(&full_file::<S>()));
    assert_eq!(load_values::<S>(&full_file::<S>(), Vec::new()), full);
    let defaults = load_values::<S>(&minimal_file::<S>(), Vec::new());
    for (key, value) in &full {
        assert_ne!(defaults.get(key), Some(value), "{key} has its default");
    }
}

#[test]
fn each_key_of_a_full_file_is_read_with_its_value() {
    check_full_file::<CoordinatorSettings>();
    check_full_file::<GatewaySettings>();
    check_full_file::<AgentSettings>();
}

/// Returns the keys whose values change with the given key.
fn affected_keys(key: &str) -> BTreeSet<&str> {
    match key {
        "listen" => BTreeSet::from(["listen", "advertise"]),
        key => BTreeSet::from([key]),
    }
}

fn check_each_key<S: Keyed>() {
    let defaults = load_values::<S>(&minimal_file::<S>(), Vec::new());
    for (key, value) in file_values(&full_file::<S>()) {
        let flag = Override::parse("--set", &format!("{key}={value}")).unwrap();
        let values = load_values::<S>(&minimal_file::<S>(), vec![flag]);
        let changed = values
            .iter()
            .filter(|(key, value)| defaults.get(*key) != Some(value))
            .map(|(key, _)| key.as_str());
        assert_eq!(changed.collect::<BTreeSet<_>>(), affected_keys(&key));
    }
}

#[test]
fn each_key_changes_only_its_own_value() {
    check_each_key::<CoordinatorSettings>();
    check_each_key::<GatewaySettings>();
    check_each_key::<AgentSettings>();
}

fn problems<S: Keyed>(source: &Source) -> Vec<String> {
    let Err(error) = load::<S>(source) else {
        panic!("{source:?} is accepted");
    };
    error.problems.iter().map(ToString::to_string).collect()
}

fn check_required<S: Keyed>(folder: &Path) {
    let file = folder.join(format!("{}.toml", S::ROLE));
    for key in file_values(&minimal_file::<S>()).keys() {
        let minimal = text(&minimal_file::<S>());
        let without = minimal
            .lines()
            .filter(|line| !line.starts_with(&format!("{key} = ")))
            .collect::<Vec<_>>();
        fs::write(&file, without.join("\n")).unwrap();
        let source = Source {
            file: Some(file.clone()),
            overrides: Vec::new(),
        };
        let expected = format!("{}: {key}: is missing", file.display());
        assert_eq!(problems::<S>(&source), [expected]);
    }
}

#[test]
fn absent_required_key_is_reported() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden-keys");
    fs::create_dir_all(&folder).unwrap();
    check_required::<CoordinatorSettings>(&folder);
    check_required::<GatewaySettings>(&folder);
    check_required::<AgentSettings>(&folder);
}

/// Returns the table that contains a key; empty for a top-level key.
fn section(key: &str) -> &str {
    key.rsplit_once('.').map_or("", |(section, _)| section)
}

/// Checks that an unknown key in each section is rejected. The keys resemble a known
/// key or belong to another role.
fn check_unknown_keys<S: Keyed>(unknown_keys: &[&str]) {
    let keys = file_values(&full_file::<S>());
    let sections: BTreeSet<&str> = keys.keys().map(|key| section(key)).collect();
    let tested: BTreeSet<&str> = unknown_keys.iter().map(|key| section(key)).collect();
    assert_eq!(tested, sections, "one key for each section");
    for key in unknown_keys {
        let flag = Override::text("--set", key, "any");
        let source = source(&minimal_file::<S>(), vec![flag]);
        let expected = format!("--set: {key}: is not a known key");
        assert_eq!(problems::<S>(&source), [expected]);
    }
}

#[test]
fn unknown_key_is_rejected_in_each_section() {
    check_unknown_keys::<CoordinatorSettings>(&[
        "initial_coordinator",
        "timings.election_timeout",
        "limits.decision_kept",
        "dispatcher.hold-after-ms",
        "policy.hold",
        "transport.queue_length",
        "log.levels",
    ]);
    check_unknown_keys::<GatewaySettings>(&[
        "admin_listen",
        "timings.order_timeout_ms",
        "limits.max_waiting",
        "transport.max_frame",
        "log.formats",
    ]);
    check_unknown_keys::<AgentSettings>(&[
        "data",
        "timings.resend_after_ms",
        "transport.queue_messages",
        "log.Level",
    ]);
}

/// Checks that each value of an enum is read from its recorded name.
fn check_names<Choice: Copy>(key: &str, all: &[Choice], name_of: impl Fn(Choice) -> &'static str) {
    for value in all {
        let name = name_of(*value);
        let flag = Override::text("--set", key, name);
        let values = load_values::<CoordinatorSettings>("coordinator_minimal.toml", vec![flag]);
        assert_eq!(values[key], Value::from(name), "{key}");
    }
}

fn format_name(format: LogFormat) -> &'static str {
    match format {
        LogFormat::Json => "json",
        LogFormat::Plain => "plain",
    }
}

fn level_name(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    }
}

#[test]
fn each_enum_value_has_its_recorded_name() {
    check_names(
        "log.format",
        &[LogFormat::Json, LogFormat::Plain],
        format_name,
    );
    let levels = [
        LogLevel::Error,
        LogLevel::Warn,
        LogLevel::Info,
        LogLevel::Debug,
        LogLevel::Trace,
    ];
    check_names("log.level", &levels, level_name);
    let draws = [DrawSetting::Uniform, DrawSetting::Oldest];
    check_names("policy.draw", &draws, draw_name);
}
