//! Defaults of bodies, errors that name the field, and `Retry-After`.

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

fn parse_error<T: serde::de::DeserializeOwned + std::fmt::Debug>(text: &str) -> String {
    parse_json::<T>(text.as_bytes()).unwrap_err().to_string()
}

#[test]
fn minimal_job_gets_defaults() {
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
fn field_twice_sets_number_of_copies() {
    let body: JobBody =
        parse_json(br#"{"tenant":"p","job":"a","queue":"q","steps":[{"name":"s","twice":2}]}"#)
            .unwrap();
    assert_eq!(JobSpec::from(body).steps[0].max_copies, 2);
}

#[test]
fn json_error_names_invalid_field() {
    let wrong_type = r#"{"tenant":"p","job":"a","queue":"q","steps":[{"name":"s","tasks":"x"}]}"#;
    assert!(parse_error::<JobBody>(wrong_type).starts_with("steps[0].tasks: invalid type"));
    let wrong_name = r#"{"tenant":"p q","job":"a","queue":"q","steps":[]}"#;
    assert!(parse_error::<JobBody>(wrong_name).starts_with("tenant: a name holds only"));
    let unknown = r#"{"tenant":"p","job":"a","queue":"q","steps":[],"copies":1}"#;
    assert!(parse_error::<JobBody>(unknown).contains("unknown field `copies`"));
    let missing = r#"{"tenant":"p","queue":"q","steps":[]}"#;
    assert!(parse_error::<JobBody>(missing).contains("missing field `job`"));
}

#[test]
fn body_with_trailing_characters_is_rejected() {
    let text = r#"{"tenant":"p","job":"a","queue":"q","steps":[]} {}"#;
    assert!(parse_error::<JobBody>(text).starts_with("body: trailing characters"));
}

#[test]
fn cancel_requires_either_jobs_or_tenant() {
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
fn list_limit_out_of_range_is_rejected() {
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
fn absent_kinds_of_resource_limit_are_unlimited() {
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
fn json_and_toml_parse_to_same_document() {
    let json = r#"{"pools":{"s":{"largest_runner":{"slots":8,"cpu_milli":1,"memory_mib":2}}},
        "queues":{"q":{"pool":"s","mode":"shadow"}},"timings":{"run_lease_ms":5000}}"#;
    let toml = "[timings]\nrun_lease_ms = 5000\n[pools.s.largest_runner]\nslots = 8\n\
        cpu_milli = 1\nmemory_mib = 2\n[queues.q]\npool = \"s\"\nmode = \"shadow\"\n";
    let from_json: ConfigurationBody = parse_json(json.as_bytes()).unwrap();
    let from_toml: ConfigurationBody = parse_toml(toml).unwrap();
    assert_eq!(from_json, from_toml);
}

#[test]
fn toml_error_names_invalid_field() {
    let error = parse_toml::<ConfigurationBody>("[queues.q]\npool = 3\n").unwrap_err();
    assert_eq!(error.path, "queues.q.pool");
}

fn document_with_key(role: &str, tenant_field: &str, salt: &str) -> String {
    format!(
        r#"{{"keys":[{{"id":"k","role":"{role}",{tenant_field}"salt_hex":"{salt}","digest_hex":"{DIGEST}"}}]}}"#
    )
}

#[test]
fn key_has_tenant_exactly_if_role_is_caller() {
    let convert = |text: String| {
        let body: ConfigurationBody = parse_json(text.as_bytes()).unwrap();
        body.into_document()
    };
    let tenant = r#""tenant":"p","#;
    let document = convert(document_with_key("caller", tenant, SALT)).unwrap();
    assert!(matches!(document.keys[0].role, KeyRole::Caller(_)));
    assert_eq!(document.keys[0].hash.salt[15], 15);
    assert_eq!(document.keys[0].hash.digest[1], 0xff);
    let error = convert(document_with_key("caller", "", SALT)).unwrap_err();
    assert_eq!(error.path, "keys[0].tenant");
    let error = convert(document_with_key("operator", tenant, SALT)).unwrap_err();
    assert_eq!(error.path, "keys[0].tenant");
}

#[test]
fn salt_that_is_not_32_hex_digits_is_rejected() {
    for salt in ["", "00", "zz0102030405060708090a0b0c0d0e0f", "é"] {
        let text = document_with_key("operator", "", salt);
        let body: ConfigurationBody = parse_json(text.as_bytes()).unwrap();
        let error = body.into_document().unwrap_err();
        assert_eq!(error.to_string(), "keys[0].salt_hex: must be 32 hex digits");
    }
}

#[test]
fn retry_after_is_rounded_up_to_whole_seconds() {
    let rejection = |retry_after_ms| RejectionBody {
        code: Code::Overloaded,
        message: String::new(),
        retry_after_ms,
        problems: Vec::new(),
    };
    assert_eq!(rejection(Some(1)).retry_after_seconds(), Some(1));
    assert_eq!(rejection(Some(1_000)).retry_after_seconds(), Some(1));
    assert_eq!(rejection(Some(1_001)).retry_after_seconds(), Some(2));
    assert_eq!(rejection(None).retry_after_seconds(), None);
}
