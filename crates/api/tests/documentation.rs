//! Checks that `docs/API.md` documents every path and every rejection code.

use api::rejection::Code;
use api::route;

const PATHS: [&str; 16] = [
    route::LICENCES,
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
    route::TENANTS,
    route::MEMBERS,
    route::DECISIONS,
];
const CODES: [Code; 8] = [
    Code::Invalid,
    Code::Unauthenticated,
    Code::Forbidden,
    Code::NotFound,
    Code::Conflict,
    Code::Overloaded,
    Code::Unavailable,
    Code::TimedOut,
];

/// Returns the text of `docs/API.md`.
fn page() -> String {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(folder.join("../../docs/API.md")).unwrap()
}

#[test]
fn every_path_is_documented() {
    let page = page();
    for path in PATHS {
        let is_documented = ["GET", "POST", "PUT", "DELETE"]
            .iter()
            .any(|method| page.contains(&format!("`{method} {path}`")));
        assert!(is_documented, "{path}");
    }
}

#[test]
fn every_rejection_code_is_documented_with_its_status() {
    let page = page();
    for code in CODES {
        let name = serde_json::to_string(&code).unwrap();
        let row = format!("| {} | `{}` |", code.status(), name.trim_matches('"'));
        assert!(page.contains(&row), "{row}");
    }
}
