//! Paths, headers and media types of the HTTP interface.

/// Path of jobs: `POST` submits a job, `GET` lists jobs.
pub const JOBS: &str = "/v1/jobs";
/// Path of one job: `GET` returns the job, `DELETE` cancels it.
pub const JOB: &str = "/v1/tenants/{tenant}/jobs/{job}";
/// Path that cancels one job by `POST`.
pub const JOB_CANCEL: &str = "/v1/tenants/{tenant}/jobs/{job}/cancel";
/// Path that explains by `GET` why a job is not running.
pub const JOB_EXPLAIN: &str = "/v1/tenants/{tenant}/jobs/{job}/explain";
/// Path that cancels several jobs by `POST`.
pub const CANCELS: &str = "/v1/cancels";
/// Path that returns the version and document in force by `GET`.
pub const CONFIGURATION: &str = "/v1/configuration";
/// Path of a new version: `PUT` replaces the document, `PATCH` changes named
/// items.
pub const CONFIGURATION_VERSION: &str = "/v1/configuration/{version}";
/// Path that returns by `GET` the version that each member reports.
pub const CONFIGURATION_STATUS: &str = "/v1/configuration/status";
/// Path that lists runners by `GET`.
pub const RUNNERS: &str = "/v1/runners";
/// Path that sets or lifts the drain of a runner by `POST`.
pub const RUNNER_DRAIN: &str = "/v1/runners/{runner}/drain";
/// Path that declares a runner lost by `POST`.
pub const RUNNER_LOST: &str = "/v1/runners/{runner}/lost";
/// Path that lists queues by `GET`.
pub const QUEUES: &str = "/v1/queues";
/// Path that lists licences by `GET`.
pub const LICENCES: &str = "/v1/licences";
/// Path that lists tenants by `GET`.
pub const TENANTS: &str = "/v1/tenants";
/// Path that lists members by `GET`.
pub const MEMBERS: &str = "/v1/members";
/// Path that returns the decision log as JSON lines by `GET`.
pub const DECISIONS: &str = "/v1/decisions";

/// Request header with the time for which the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "deadline-ms";
/// Deadline of a request without [`DEADLINE_HEADER`], in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 2_000;
/// Longest deadline that a request may have, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 30_000;

/// Media type of the decision log.
pub const JSON_LINES: &str = "application/x-ndjson";
/// Media type of a configuration document or update in TOML.
pub const TOML: &str = "application/toml";
