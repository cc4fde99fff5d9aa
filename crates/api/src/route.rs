//! Paths, headers and media types of the outer interface.

/// `POST` takes a job, `GET` lists jobs.
pub const JOBS: &str = "/v1/jobs";
/// `GET` gives a job, `DELETE` cancels it.
pub const JOB: &str = "/v1/tenants/{tenant}/jobs/{job}";
/// `POST` cancels a job.
pub const JOB_CANCEL: &str = "/v1/tenants/{tenant}/jobs/{job}/cancel";
/// `GET` answers why a job is not running.
pub const JOB_EXPLAIN: &str = "/v1/tenants/{tenant}/jobs/{job}/explain";
/// `POST` cancels many jobs.
pub const CANCELS: &str = "/v1/cancels";
/// `GET` gives version and document in force.
pub const CONFIGURATION: &str = "/v1/configuration";
/// `PUT` takes a version, `PATCH` changes named items.
pub const CONFIGURATION_VERSION: &str = "/v1/configuration/{version}";
/// `GET` gives the version each member reports.
pub const CONFIGURATION_STATUS: &str = "/v1/configuration/status";
/// `GET` lists runners.
pub const RUNNERS: &str = "/v1/runners";
/// `POST` marks a runner as draining, or takes it back.
pub const RUNNER_DRAIN: &str = "/v1/runners/{runner}/drain";
/// `POST` declares a runner lost.
pub const RUNNER_LOST: &str = "/v1/runners/{runner}/lost";
/// `GET` lists queues.
pub const QUEUES: &str = "/v1/queues";
/// `GET` lists licences.
pub const LICENCES: &str = "/v1/licences";
/// `GET` lists tenants.
pub const TENANTS: &str = "/v1/tenants";
/// `GET` lists members.
pub const MEMBERS: &str = "/v1/members";
/// `GET` gives decisions as JSON lines.
pub const DECISIONS: &str = "/v1/decisions";

/// Request header: how long the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "deadline-ms";
/// Wait of a request without the header, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 2_000;
/// Longest wait a request may ask for, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 30_000;

/// Media type of the decision stream.
pub const JSON_LINES: &str = "application/x-ndjson";
/// Media type of a configuration in TOML.
pub const TOML: &str = "application/toml";
