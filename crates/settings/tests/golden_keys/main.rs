//! Every key of every role with its default, beside recorded text: a field that
//! gets another name in Rust keeps its key in the settings file.
//!
//! `golden/<role>.txt` lists the keys with their defaults, `<role>_minimal.toml`
//! holds what must be there, and `<role>.toml` gives every key another value.

mod keyed;

use keyed::{Keyed, SECRET_KEY, Values, draw_word};
use settings::{
    AgentSettings, CoordinatorSettings, DrawSetting, GatewaySettings, LogFormat, LogLevel,
    Override, Source, load,
};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use toml::Value;

/// What the list says in place of a default.
const REQUIRED: &str = "(required)";

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn text(name: &str) -> String {
    fs::read_to_string(path(name)).unwrap()
}

/// Fails with the first line that differs, and with the whole text.
fn assert_text(name: &str, actual: &str) {
    let recorded = text(name);
    if recorded == actual {
        return;
    }
    let pairs = recorded.lines().zip(actual.lines());
    let same = pairs.take_while(|(old, new)| old == new).count();
    let line = |text: &str| text.lines().nth(same).unwrap_or("(no line)").to_owned();
    panic!(
        "{name} differs from line {} on\nrecorded: {}\nactual:   {}\nthe whole text:\n{actual}",
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

fn loaded<S: Keyed>(file: &str, overrides: Vec<Override>) -> Values {
    let settings: S = load(&source(file, overrides)).unwrap_or_else(|error| panic!("{error}"));
    settings.values()
}

/// A value as a flag or a file gives it, by key.
fn given(file: &str) -> Values {
    let mut given = Values::new();
    let table: toml::Table = toml::from_str(&text(file)).unwrap();
    for (key, value) in table {
        match value {
            Value::Table(inner) => {
                let inner = inner.into_iter();
                given.extend(inner.map(|(name, value)| (format!("{key}.{name}"), value)));
            }
            value => {
                given.insert(key, value);
            }
        }
    }
    given
}

/// The same with the secret in place of its file, as settings hold it.
fn expected(mut given: Values) -> Values {
    if let Some(file) = given.get_mut(SECRET_KEY) {
        let name = Path::new(file.as_str().unwrap()).file_name().unwrap();
        let secret = text(name.to_str().unwrap());
        *file = Value::from(secret.trim_end());
    }
    given
}

/// Keys with their defaults, a line each.
fn listed<S: Keyed>() -> String {
    let required = given(&minimal_file::<S>());
    let values = loaded::<S>(&minimal_file::<S>(), Vec::new());
    let lines = values.iter().map(|(key, value)| match required.get(key) {
        Some(_) => format!("{key} = {REQUIRED}\n"),
        None => format!("{key} = {value}\n"),
    });
    lines.collect()
}

fn check_defaults<S: Keyed>() {
    assert_text(&format!("{}.txt", S::ROLE), &listed::<S>());
}

#[test]
fn the_keys_of_every_role_have_the_recorded_defaults() {
    check_defaults::<CoordinatorSettings>();
    check_defaults::<GatewaySettings>();
    check_defaults::<AgentSettings>();
}

fn check_full_file<S: Keyed>() {
    let full = expected(given(&full_file::<S>()));
    assert_eq!(loaded::<S>(&full_file::<S>(), Vec::new()), full);
    let defaults = loaded::<S>(&minimal_file::<S>(), Vec::new());
    for (key, value) in &full {
        assert_ne!(defaults.get(key), Some(value), "{key} has its default");
    }
}

#[test]
fn every_key_of_a_full_file_is_read_as_itself() {
    check_full_file::<CoordinatorSettings>();
    check_full_file::<GatewaySettings>();
    check_full_file::<AgentSettings>();
}

/// The keys whose values change with this one.
fn changed_with(key: &str) -> BTreeSet<&str> {
    match key {
        "listen" => BTreeSet::from(["listen", "advertise"]),
        key => BTreeSet::from([key]),
    }
}

fn check_each_key<S: Keyed>() {
    let defaults = loaded::<S>(&minimal_file::<S>(), Vec::new());
    for (key, value) in given(&full_file::<S>()) {
        let flag = Override::parse("--set", &format!("{key}={value}")).unwrap();
        let values = loaded::<S>(&minimal_file::<S>(), vec![flag]);
        let changed = values
            .iter()
            .filter(|(key, value)| defaults.get(*key) != Some(value))
            .map(|(key, _)| key.as_str());
        assert_eq!(changed.collect::<BTreeSet<_>>(), changed_with(&key));
    }
}

#[test]
fn each_key_sets_its_own_value_alone() {
    check_each_key::<CoordinatorSettings>();
    check_each_key::<GatewaySettings>();
    check_each_key::<AgentSettings>();
}

fn problems<S: Keyed>(source: &Source) -> Vec<String> {
    let Err(error) = load::<S>(source) else {
        panic!("{source:?} is taken");
    };
    error.problems.iter().map(ToString::to_string).collect()
}

fn check_required<S: Keyed>(folder: &Path) {
    let file = folder.join(format!("{}.toml", S::ROLE));
    for key in given(&minimal_file::<S>()).keys() {
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
fn a_required_key_is_missed() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden-keys");
    fs::create_dir_all(&folder).unwrap();
    check_required::<CoordinatorSettings>(&folder);
    check_required::<GatewaySettings>(&folder);
    check_required::<AgentSettings>(&folder);
}

/// The table that a key stands in; nothing for a key at the top.
fn section(key: &str) -> &str {
    key.rsplit_once('.').map_or("", |(section, _)| section)
}

/// A key of each section that nearly is one.
fn check_near_misses<S: Keyed>(near_misses: &[&str]) {
    let keys = given(&full_file::<S>());
    let sections: BTreeSet<&str> = keys.keys().map(|key| section(key)).collect();
    let tried: BTreeSet<&str> = near_misses.iter().map(|key| section(key)).collect();
    assert_eq!(tried, sections, "one in each section");
    for key in near_misses {
        let flag = Override::text("--set", key, "any");
        let source = source(&minimal_file::<S>(), vec![flag]);
        let expected = format!("--set: {key}: is not a known key");
        assert_eq!(problems::<S>(&source), [expected]);
    }
}

#[test]
fn a_key_that_nearly_is_one_is_refused() {
    check_near_misses::<CoordinatorSettings>(&[
        "initial_coordinator",
        "timings.election_timeout",
        "limits.decision_kept",
        "dispatcher.hold-after-ms",
        "policy.hold",
        "transport.queue_length",
        "log.levels",
    ]);
    check_near_misses::<GatewaySettings>(&[
        "admin_listen",
        "timings.order_timeout_ms",
        "limits.max_waiting",
        "transport.max_frame",
        "log.formats",
    ]);
    check_near_misses::<AgentSettings>(&[
        "data",
        "timings.resend_after_ms",
        "transport.queue_messages",
        "log.Level",
    ]);
}

/// Each word must be read as the value it stands for.
fn check_words<Word: Copy>(key: &str, all: &[Word], word: impl Fn(Word) -> &'static str) {
    for value in all {
        let word = word(*value);
        let flag = Override::text("--set", key, word);
        let values = loaded::<CoordinatorSettings>("coordinator_minimal.toml", vec![flag]);
        assert_eq!(values[key], Value::from(word), "{key}");
    }
}

fn format_word(format: LogFormat) -> &'static str {
    match format {
        LogFormat::Json => "json",
        LogFormat::Plain => "plain",
    }
}

fn level_word(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    }
}

#[test]
fn every_choice_has_its_recorded_word() {
    check_words(
        "log.format",
        &[LogFormat::Json, LogFormat::Plain],
        format_word,
    );
    let levels = [
        LogLevel::Error,
        LogLevel::Warn,
        LogLevel::Info,
        LogLevel::Debug,
        LogLevel::Trace,
    ];
    check_words("log.level", &levels, level_word);
    let draws = [DrawSetting::Uniform, DrawSetting::Oldest];
    check_words("policy.draw", &draws, draw_word);
}
