//! Property tests: parsing never panics, whatever the bytes, and a value that is
//! written and parsed again is unchanged.

use api::cancel::CancelBody;
use api::configuration::ConfigurationBody;
use api::decision::DecisionsQuery;
use api::job::JobBody;
use api::operator::DrainBody;
use api::rejection::RejectionBody;
use api::view::ListQuery;
use api::{parse_json, parse_toml};
use configuration::{
    ClusterConfiguration, ErrorBudget, Key, KeyHash, KeyRole, PoolSettings, QueueMode,
    QueueSettings, TenantSettings, Timings,
};
use proptest::collection::{btree_map, vec};
use proptest::option;
use proptest::prelude::*;
use state_machine::CancelSelector;
use std::fmt::Debug;
use std::str::FromStr;
use types::{JobKey, JobSpec, Milliseconds, Resources, StepSpec, Urgency, WallTime};

fn name<Name: FromStr<Err: Debug> + Debug>() -> impl Strategy<Value = Name> {
    "[a-z0-9._:-]{1,12}".prop_map(|text| text.parse().unwrap())
}

fn resources() -> impl Strategy<Value = Resources> {
    any::<(u32, u32, u32, u32)>().prop_map(|(slots, cpu_milli, memory_mib, gpus)| Resources {
        slots,
        cpu_milli,
        memory_mib,
        gpus,
    })
}

fn step() -> impl Strategy<Value = StepSpec> {
    (
        (name(), vec(name(), 0..3), any::<u32>(), resources()),
        (
            btree_map(".{0,4}", ".{0,4}", 0..3),
            any::<u32>(),
            any::<u32>(),
            any::<u64>(),
            ".{0,20}",
        ),
    )
        .prop_map(
            |(
                (name, after, tasks, resources),
                (labels, max_copies, allowed_failures, time_limit, payload),
            )| StepSpec {
                rules: Default::default(),
                name,
                after,
                tasks,
                resources,
                labels,
                max_copies,
                allowed_failures,
                time_limit: Milliseconds(time_limit),
                payload,
            },
        )
}

fn job() -> impl Strategy<Value = JobSpec> {
    (
        name(),
        name(),
        name(),
        any::<bool>(),
        option::of(any::<u64>()),
        vec(step(), 0..4),
    )
        .prop_map(|(tenant, job, queue, urgent, start_at, steps)| JobSpec {
            payload: String::new(),
            tenant,
            job,
            queue,
            urgency: if urgent {
                Urgency::Urgent
            } else {
                Urgency::Normal
            },
            start_at: start_at.map(WallTime),
            steps,
        })
}

fn selector() -> impl Strategy<Value = CancelSelector> {
    let key = (name(), name()).prop_map(|(tenant, job)| JobKey { tenant, job });
    prop_oneof![
        vec(key, 0..4).prop_map(CancelSelector::Jobs),
        (name(), option::of(name()))
            .prop_map(|(tenant, queue)| CancelSelector::Tenant { tenant, queue }),
    ]
}

fn tenant() -> impl Strategy<Value = TenantSettings> {
    (resources(), any::<[u32; 5]>(), any::<[u32; 2]>()).prop_map(
        |(
            resource_limit,
            [
                share_percent,
                late_per_thousand,
                failed_per_thousand,
                submits_per_second,
                submit_burst,
            ],
            [late_after, max_unfinished_jobs],
        )| TenantSettings {
            share_percent,
            resource_limit,
            error_budget: ErrorBudget {
                late_after: Milliseconds(late_after.into()),
                late_per_thousand,
                failed_per_thousand,
            },
            submits_per_second,
            submit_burst,
            max_unfinished_jobs: max_unfinished_jobs.into(),
        },
    )
}

fn queue() -> impl Strategy<Value = QueueSettings> {
    let modes = [
        QueueMode::Shadow,
        QueueMode::Active,
        QueueMode::Paused,
        QueueMode::Draining,
    ];
    (
        name(),
        proptest::sample::select(modes.to_vec()),
        any::<u32>(),
    )
        .prop_map(|(pool, mode, max_unfinished_jobs)| QueueSettings {
            priority: 0,
            pool,
            mode,
            max_unfinished_jobs: max_unfinished_jobs.into(),
        })
}

fn key() -> impl Strategy<Value = Key> {
    let role = prop_oneof![
        name().prop_map(KeyRole::Caller),
        Just(KeyRole::Operator),
        Just(KeyRole::Runner),
    ];
    (name(), role, any::<[u8; 16]>(), any::<[u8; 32]>()).prop_map(|(id, role, salt, digest)| Key {
        id,
        role,
        hash: KeyHash { salt, digest },
    })
}

fn document() -> impl Strategy<Value = ClusterConfiguration> {
    let pool = resources().prop_map(|largest_runner| PoolSettings { largest_runner });
    (
        btree_map(name(), pool, 0..3),
        btree_map(name(), queue(), 0..3),
        btree_map(name(), tenant(), 0..3),
        vec(key(), 0..3),
        any::<[u32; 5]>(),
    )
        .prop_map(|(pools, queues, tenants, keys, timings)| {
            let timing = |index: usize| Milliseconds(timings[index].into());
            ClusterConfiguration {
                replaces: None,
                left_out: Default::default(),
                source: None,
                licences: Default::default(),
                pools,
                queues,
                tenants,
                keys,
                timings: Timings {
                    run_lease: timing(0),
                    run_lease_margin: timing(1),
                    retry_backoff: timing(2),
                    max_retry_backoff: timing(3),
                    retention: timing(4),
                },
            }
        })
}

/// Parses the bytes as every kind of body and ignores the results.
fn parse_as_every_body(bytes: &[u8]) {
    let _ = parse_json::<JobBody>(bytes).map(JobSpec::from);
    let _ = parse_json::<CancelBody>(bytes).map(CancelBody::into_selector);
    let _ = parse_json::<ConfigurationBody>(bytes).map(ConfigurationBody::into_document);
    let _ = parse_json::<DrainBody>(bytes);
    let _ = parse_json::<RejectionBody>(bytes);
    let _ = parse_json::<ListQuery>(bytes).map(ListQuery::into_filter);
    let _ = parse_json::<DecisionsQuery>(bytes).map(|query| query.checked_limit());
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = parse_toml::<ConfigurationBody>(text).map(ConfigurationBody::into_document);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..200)) {
        parse_as_every_body(&bytes);
    }

    #[test]
    fn corrupted_job_body_never_panics(
        spec in job(),
        index in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = serde_json::to_vec(&JobBody::from(spec)).unwrap();
        let position = index.index(bytes.len());
        bytes[position] = byte;
        parse_as_every_body(&bytes);
        bytes.truncate(position);
        parse_as_every_body(&bytes);
    }

    #[test]
    fn job_round_trips_through_json(spec in job()) {
        let bytes = serde_json::to_vec(&JobBody::from(spec.clone())).unwrap();
        let body: JobBody = parse_json(&bytes).unwrap();
        prop_assert_eq!(JobSpec::from(body), spec);
    }

    #[test]
    fn cancel_round_trips_through_json(selector in selector()) {
        let bytes = serde_json::to_vec(&CancelBody::from(selector.clone())).unwrap();
        let body: CancelBody = parse_json(&bytes).unwrap();
        prop_assert_eq!(body.into_selector().unwrap(), selector);
    }

    #[test]
    fn configuration_round_trips_through_json_and_toml(document in document()) {
        let body = ConfigurationBody::from(document.clone());
        let json = serde_json::to_vec(&body).unwrap();
        let parsed: ConfigurationBody = parse_json(&json).unwrap();
        prop_assert_eq!(parsed.into_document().unwrap(), document.clone());
        let parsed: ConfigurationBody = parse_toml(&toml::to_string(&body).unwrap()).unwrap();
        prop_assert_eq!(parsed.into_document().unwrap(), document);
    }
}
