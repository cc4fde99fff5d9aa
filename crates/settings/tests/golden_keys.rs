//! Every key of every role with its default, beside recorded text: a field that
//! gets another name in Rust keeps its key in the settings file.
//!
//! `golden/<role>.txt` lists the keys with their defaults, `<role>_minimal.toml`
//! holds what must be there, and `<role>.toml` gives every key another value.

use serde::Serialize;
use settings::{
    AgentSettings, AgentTimings, CoordinatorLimits, CoordinatorSettings, CoordinatorTimings,
    DispatcherSettings, DrawSetting, GatewayLimits, GatewaySettings, GatewayTimings, LogFormat,
    LogLevel, LogSettings, NodeSettings, Override, PolicySettings, RoleSettings, Source,
    TransportSettings, load,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use toml::Value;

/// The key whose value names a file; what counts is what the file holds.
const SECRET_KEY: &str = "cluster_key_file";
/// What the list says in place of a default.
const REQUIRED: &str = "(required)";

/// Values by key, with dots between tables.
type Values = BTreeMap<String, Value>;

/// The settings of a role as the keys they were read from. The structs are taken
/// apart without `..`, so that a new field must be added here.
trait Keyed: RoleSettings {
    const ROLE: &str;

    fn values(self) -> Values;
}

fn insert(values: &mut Values, key: &str, value: impl Serialize) {
    let value = Value::try_from(value).unwrap();
    assert!(values.insert(key.to_owned(), value).is_none(), "{key}");
}

fn insert_node(values: &mut Values, node: NodeSettings) {
    let NodeSettings {
        zone,
        listen,
        advertise,
        seeds,
        cluster_key,
        grace_ms,
        transport,
        log,
    } = node;
    insert(values, "zone", zone);
    insert(values, "listen", listen);
    insert(values, "advertise", advertise);
    insert(values, "seeds", seeds);
    let secret = std::str::from_utf8(cluster_key.bytes()).unwrap();
    insert(values, SECRET_KEY, secret);
    insert(values, "grace_ms", grace_ms);
    let TransportSettings {
        queue_length_messages,
        max_frame_bytes,
    } = transport;
    insert(
        values,
        "transport.queue_length_messages",
        queue_length_messages,
    );
    insert(values, "transport.max_frame_bytes", max_frame_bytes);
    let LogSettings { format, level } = log;
    insert(values, "log.format", format);
    insert(values, "log.level", level);
}

fn insert_coordinator_timings(values: &mut Values, timings: CoordinatorTimings) {
    let CoordinatorTimings {
        election_timeout_ms,
        heartbeat_interval_ms,
        leader_lease_ms,
        session_lease_ms,
        replace_voter_after_ms,
        runner_wait_ms,
    } = timings;
    insert(values, "timings.election_timeout_ms", election_timeout_ms);
    insert(
        values,
        "timings.heartbeat_interval_ms",
        heartbeat_interval_ms,
    );
    insert(values, "timings.leader_lease_ms", leader_lease_ms);
    insert(values, "timings.session_lease_ms", session_lease_ms);
    insert(
        values,
        "timings.replace_voter_after_ms",
        replace_voter_after_ms,
    );
    insert(values, "timings.runner_wait_ms", runner_wait_ms);
}

fn insert_coordinator_limits(values: &mut Values, limits: CoordinatorLimits) {
    let CoordinatorLimits {
        snapshot_every_entries,
        max_waiting_requests,
        decisions_kept,
    } = limits;
    insert(
        values,
        "limits.snapshot_every_entries",
        snapshot_every_entries,
    );
    insert(values, "limits.max_waiting_requests", max_waiting_requests);
    insert(values, "limits.decisions_kept", decisions_kept);
}

fn insert_dispatcher(values: &mut Values, dispatcher: DispatcherSettings) {
    let DispatcherSettings {
        look_ahead_tasks,
        hold_after_ms,
        probation_failures,
        probation_ms,
        silent_after_ms,
        patience_ms,
        urgent_reserve_percent,
        urgent_ceiling_percent,
        stalled_after_ms,
    } = dispatcher;
    let mut insert = |key: &str, value: u64| insert(values, &format!("dispatcher.{key}"), value);
    insert("look_ahead_tasks", look_ahead_tasks as u64);
    insert("hold_after_ms", hold_after_ms);
    insert("probation_failures", probation_failures.into());
    insert("probation_ms", probation_ms);
    insert("silent_after_ms", silent_after_ms);
    insert("patience_ms", patience_ms);
    insert("urgent_reserve_percent", urgent_reserve_percent.into());
    insert("urgent_ceiling_percent", urgent_ceiling_percent.into());
    insert("stalled_after_ms", stalled_after_ms.unwrap_or(0));
}

fn draw_word(draw: DrawSetting) -> &'static str {
    match draw {
        DrawSetting::Uniform => "uniform",
        DrawSetting::Oldest => "oldest",
    }
}

fn insert_policy(values: &mut Values, policy: PolicySettings) {
    let PolicySettings {
        draw,
        shares,
        priorities,
        ceiling_reserve,
        holds,
        copies,
        suspects_last,
        probation,
        rack_patience,
        avoid_failed,
        move_slow,
        gives_way,
    } = policy;
    insert(values, "policy.draw", draw_word(draw));
    let mut insert = |key: &str, on: bool| insert(values, &format!("policy.{key}"), on);
    insert("shares", shares);
    insert("priorities", priorities);
    insert("ceiling_reserve", ceiling_reserve);
    insert("holds", holds);
    insert("copies", copies);
    insert("suspects_last", suspects_last);
    insert("probation", probation);
    insert("rack_patience", rack_patience);
    insert("avoid_failed", avoid_failed);
    insert("move_slow", move_slow);
    insert("gives_way", gives_way);
}

impl Keyed for CoordinatorSettings {
    const ROLE: &str = "coordinator";

    fn values(self) -> Values {
        let Self {
            node,
            admin_listen,
            data,
            initial_coordinators,
            timings,
            limits,
            dispatcher,
            policy,
        } = self;
        let mut values = Values::new();
        insert_node(&mut values, node);
        insert(&mut values, "admin_listen", admin_listen);
        insert(&mut values, "data", data);
        insert(&mut values, "initial_coordinators", initial_coordinators);
        insert_coordinator_timings(&mut values, timings);
        insert_coordinator_limits(&mut values, limits);
        insert_dispatcher(&mut values, dispatcher);
        insert_policy(&mut values, policy);
        values
    }
}

impl Keyed for GatewaySettings {
    const ROLE: &str = "gateway";

    fn values(self) -> Values {
        let Self {
            node,
            http_listen,
            timings,
            limits,
        } = self;
        let GatewayTimings {
            session_interval_ms,
            replica_valid_ms,
            resend_after_ms,
        } = timings;
        let GatewayLimits {
            max_waiting_requests,
        } = limits;
        let mut values = Values::new();
        insert_node(&mut values, node);
        insert(&mut values, "http_listen", http_listen);
        insert(
            &mut values,
            "timings.session_interval_ms",
            session_interval_ms,
        );
        insert(&mut values, "timings.replica_valid_ms", replica_valid_ms);
        insert(&mut values, "timings.resend_after_ms", resend_after_ms);
        insert(
            &mut values,
            "limits.max_waiting_requests",
            max_waiting_requests,
        );
        values
    }
}

impl Keyed for AgentSettings {
    const ROLE: &str = "agent";

    fn values(self) -> Values {
        let Self {
            node,
            http_listen,
            timings,
        } = self;
        let AgentTimings {
            session_interval_ms,
            replica_valid_ms,
            order_timeout_ms,
            freeze_after_ms,
        } = timings;
        let mut values = Values::new();
        insert_node(&mut values, node);
        insert(&mut values, "http_listen", http_listen);
        insert(
            &mut values,
            "timings.session_interval_ms",
            session_interval_ms,
        );
        insert(&mut values, "timings.replica_valid_ms", replica_valid_ms);
        insert(&mut values, "timings.order_timeout_ms", order_timeout_ms);
        insert(&mut values, "timings.freeze_after_ms", freeze_after_ms);
        values
    }
}

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
