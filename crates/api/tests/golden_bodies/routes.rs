//! Paths, headers, media types and limits of the interface.

use crate::recorded::assert_text;
use api::{decision, job, route, runner, view};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Beginning of a string literal with a path of the interface.
const PATH_LITERAL: &str = "\"/v1/";

const PATHS: [&str; 17] = [
    route::JOBS,
    route::JOB,
    route::JOB_CANCEL,
    route::JOB_EXPLAIN,
    route::CANCELS,
    route::CONFIGURATION,
    route::CONFIGURATION_VERSION,
    route::CONFIGURATION_STATUS,
    route::RUNNERS,
    route::RUNNER_DRAIN,
    route::RUNNER_LOST,
    route::QUEUES,
    route::LICENCES,
    route::TENANTS,
    route::MEMBERS,
    route::DECISIONS,
    runner::HEARTBEAT_ROUTE,
];

#[test]
fn paths_match_golden_file() {
    assert_text("paths.txt", &(PATHS.join("\n") + "\n"));
}

/// Adds every path of the interface in the source files below a directory.
fn collect_paths(directory: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_paths(&path, found);
            continue;
        }
        let source = fs::read_to_string(&path).unwrap();
        for (start, _) in source.match_indices(PATH_LITERAL) {
            let literal = source[start + 1..].split('"').next().unwrap();
            found.insert(literal.to_owned());
        }
    }
}

#[test]
fn every_path_of_sources_is_listed() {
    let mut found = BTreeSet::new();
    collect_paths(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut found,
    );
    let listed: BTreeSet<String> = PATHS.map(str::to_owned).into();
    assert_eq!(found, listed);
}

#[test]
fn headers_media_types_and_limits_match_golden_file() {
    let lines = [
        format!("header of the deadline: {}", route::DEADLINE_HEADER),
        format!("deadline without it: {}", route::DEFAULT_DEADLINE_MS),
        format!("longest deadline: {}", route::MAX_DEADLINE_MS),
        format!("media type of decisions: {}", route::JSON_LINES),
        format!("media type of TOML: {}", route::TOML),
        format!("jobs on a page: {}", view::DEFAULT_PAGE),
        format!("most jobs on a page: {}", view::MAX_PAGE),
        format!("most decisions at once: {}", decision::MAX_DECISIONS),
        format!("time limit of a run: {}", job::DEFAULT_TIME_LIMIT_MS),
    ];
    assert_text("bounds.txt", &(lines.join("\n") + "\n"));
}
