//! Bodies: defaults, errors that name the field, and status codes.

use api::cancel::CancelBody;
use api::configuration::ConfigurationBody;
use api::job::JobBody;
use api::rejection::{Code, RejectionBody};
use api::view::{ListQuery, MAX_PAGE};
use api::{parse_json, parse_toml};
use configuration::KeyRole;
use types::{JobSpec, Milliseconds, Resources};

const SALT: &str = "000102030405060708090a0b0c0d0e0f";
const DIGEST: &str = "00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff";

fn error_of<T: serde::de::DeserializeOwned + std::fmt::Debug>(text: &str) -> String {
    parse_json::<T>(text.as_bytes()).unwrap_err().to_string()
}

#[test]
fn a_short_job_gets_the_defaults() {
    let body: JobBody = parse_json(
        br#"{"tenant":"poster","job":"a-1","queue":"hover","steps":[{"name":"frame"}]}"#,
    )
    .unwrap();
    let spec = JobSpec::from(body);
    let step = &spec.steps[0];
    assert_eq!(step.tasks, 1);
    assert_eq!(step.max_copies, 1);
    assert_eq!(step.allowed_failures, 0);
    assert_eq!(step.time_limit, Milliseconds(60_000));
    assert_eq!(
        step.resources,
        Resources {
            slots: 1,
            ..Resources::ZERO
        }
    );
    assert_eq!(spec.urgency, types::Urgency::Normal);
}

#[test]
fn twice_is_the_number_of_copies() {
    let body: JobBody =
        parse_json(br#"{"tenant":"p","job":"a","queue":"q","steps":[{"name":"s","twice":2}]}"#)
            .unwrap();
    assert_eq!(JobSpec::from(body).steps[0].max_copies, 2);
}

#[test]
fn an_error_names_the_field() {
    let wrong_type = r#"{"tenant":"p","job":"a","queue":"q","steps":[{"name":"s","tasks":"x"}]}"#;
    assert!(error_of::<JobBody>(wrong_type).starts_with("steps[0].tasks: invalid type"));
    let wrong_name = r#"{"tenant":"p q","job":"a","queue":"q","steps":[]}"#;
    assert!(error_of::<JobBody>(wrong_name).starts_with("tenant: a name holds only"));
    let unknown = r#"{"tenant":"p","job":"a","queue":"q","steps":[],"copies":1}"#;
    assert!(error_of::<JobBody>(unknown).contains("unknown field `copies`"));
    let missing = r#"{"tenant":"p","queue":"q","steps":[]}"#;
    assert!(error_of::<JobBody>(missing).contains("missing field `job`"));
}

#[test]
fn nothing_may_follow_a_body() {
    let text = r#"{"tenant":"p","job":"a","queue":"q","steps":[]} {}"#;
    assert!(error_of::<JobBody>(text).starts_with("body: trailing characters"));
}

#[test]
fn a_cancel_names_jobs_or_a_tenant() {
    let parse = |text: &str| {
        parse_json::<CancelBody>(text.as_bytes())
            .unwrap()
            .into_selector()
    };
    assert!(parse(r#"{"jobs":[{"tenant":"p","job":"a"}]}"#).is_ok());
    assert!(parse(r#"{"tenant":"p","queue":"q"}"#).is_ok());
    assert!(parse(r#"{"jobs":[],"tenant":"p"}"#).is_err());
    assert!(parse(r#"{"queue":"q"}"#).is_err());
    assert!(parse("{}").is_err());
}

#[test]
fn a_list_limit_outside_its_bounds_is_refused() {
    for limit in [0, MAX_PAGE + 1] {
        let query = ListQuery {
            limit: Some(limit),
            ..ListQuery::default()
        };
        assert_eq!(query.into_filter().unwrap_err().path, "limit");
    }
    assert!(ListQuery::default().into_filter().is_ok());
}

#[test]
fn a_ceiling_holds_only_the_kinds_it_names() {
    let text = r#"{"tenants":{"p":{"share_percent":50,"most":{"slots":4}}}}"#;
    let body: ConfigurationBody = parse_json(text.as_bytes()).unwrap();
    let document = body.into_document().unwrap();
    let tenant = document.tenants.values().next().unwrap();
    let expected = Resources {
        slots: 4,
        ..Resources::UNLIMITED
    };
    assert_eq!(tenant.resource_limit, expected);
}

#[test]
fn json_and_toml_give_the_same_document() {
    let json = r#"{"pools":{"s":{"largest_runner":{"slots":8,"cpu_milli":1,"memory_mib":2}}},
        "queues":{"q":{"pool":"s","mode":"shadow"}},"timings":{"run_lease_ms":5000}}"#;
    let toml = "[timings]\nrun_lease_ms = 5000\n[pools.s.largest_runner]\nslots = 8\n\
        cpu_milli = 1\nmemory_mib = 2\n[queues.q]\npool = \"s\"\nmode = \"shadow\"\n";
    let from_json: ConfigurationBody = parse_json(json.as_bytes()).unwrap();
    let from_toml: ConfigurationBody = parse_toml(toml).unwrap();
    assert_eq!(from_json, from_toml);
}

#[test]
fn a_toml_error_names_the_field() {
    let error = parse_toml::<ConfigurationBody>("[queues.q]\npool = 3\n").unwrap_err();
    assert_eq!(error.path, "queues.q.pool");
}

fn key_document(role: &str, extra: &str, salt: &str) -> String {
    format!(
        r#"{{"keys":[{{"id":"k","role":"{role}",{extra}"salt_hex":"{salt}","digest_hex":"{DIGEST}"}}]}}"#
    )
}

#[test]
fn a_key_has_a_tenant_when_it_is_a_callers() {
    let read = |text: String| {
        let body: ConfigurationBody = parse_json(text.as_bytes()).unwrap();
        body.into_document()
    };
    let tenant = r#""tenant":"p","#;
    let document = read(key_document("caller", tenant, SALT)).unwrap();
    assert!(matches!(document.keys[0].role, KeyRole::Caller(_)));
    assert_eq!(document.keys[0].hash.salt[15], 15);
    assert_eq!(document.keys[0].hash.digest[1], 0xff);
    let error = read(key_document("caller", "", SALT)).unwrap_err();
    assert_eq!(error.path, "keys[0].tenant");
    let error = read(key_document("operator", tenant, SALT)).unwrap_err();
    assert_eq!(error.path, "keys[0].tenant");
}

#[test]
fn a_salt_must_be_whole_hex() {
    for salt in ["", "00", "zz0102030405060708090a0b0c0d0e0f", "é"] {
        let text = key_document("operator", "", salt);
        let body: ConfigurationBody = parse_json(text.as_bytes()).unwrap();
        let error = body.into_document().unwrap_err();
        assert_eq!(error.to_string(), "keys[0].salt_hex: must be 32 hex digits");
    }
}

#[test]
fn retry_after_is_rounded_up_to_whole_seconds() {
    let body = |wait| RejectionBody {
        code: Code::Overloaded,
        message: String::new(),
        retry_after_ms: wait,
        problems: Vec::new(),
    };
    assert_eq!(body(Some(1)).retry_after_seconds(), Some(1));
    assert_eq!(body(Some(1_000)).retry_after_seconds(), Some(1));
    assert_eq!(body(Some(1_001)).retry_after_seconds(), Some(2));
    assert_eq!(body(None).retry_after_seconds(), None);
}
