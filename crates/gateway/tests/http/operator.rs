//! Operations of operators over HTTP.

use crate::fixture::{Fixture, GATEWAY_NODE, Setup, read};
use configuration::{ClusterConfiguration, Key, KeyHash, KeyRole};
use reqwest::Method;
use transport::{MemberView, Operation, OperationReply};
use types::{Address, ConfigurationVersion, Milliseconds, NodeId, Role, RunId, Term};

const JSON: &str = r#"{"timings":{"run_lease_ms":5000}}"#;
const TOML: &str = "[timings]\nrun_lease_ms = 5000\n";

#[tokio::test]
async fn put_configuration_accepts_json_and_toml() {
    let fixture = Fixture::start(|operation| {
        let Operation::PutConfiguration { version, document } = operation else {
            panic!("{operation:?}");
        };
        assert_eq!(document.timings.run_lease, Milliseconds(5_000));
        Some(Ok(OperationReply::Configured {
            version: *version,
            known: false,
        }))
    })
    .await;
    for (media_type, body) in [
        ("application/json", JSON),
        ("application/toml", TOML),
        ("application/toml; charset=utf-8", TOML),
    ] {
        let request = fixture.request(Method::PUT, "/v1/configuration/4");
        let request = request.header("Content-Type", media_type).body(body);
        let (status, body) = read(request.send().await.unwrap()).await;
        assert_eq!((status, body["version"].as_u64()), (200, Some(4)));
    }
    let request = fixture.request(Method::PUT, "/v1/configuration/next");
    let response = request.body(JSON).send().await.unwrap();
    assert_eq!(response.status(), 400);
}

#[tokio::test]
async fn update_changes_named_items_and_rejects_invalid_bodies() {
    let fixture = Fixture::start(|operation| {
        let Operation::UpdateConfiguration { version, update } = operation else {
            panic!("{operation:?}");
        };
        assert_eq!(update.replaces, ConfigurationVersion(3));
        assert_eq!(update.upsert.licences.len(), 1);
        assert_eq!(update.remove.queues.len(), 1);
        Some(Ok(OperationReply::Configured {
            version: *version,
            known: false,
        }))
    })
    .await;
    let valid = r#"{"replaces":3,"upsert":{"licences":{"renderer":{"seats":2}}},"remove":{"queues":["old"]}}"#;
    let patch = |body: &'static str| {
        let request = fixture.request(Method::PATCH, "/v1/configuration/4");
        request.body(body).send()
    };
    let (status, body) = read(patch(valid).await.unwrap()).await;
    assert_eq!((status, body["version"].as_u64()), (200, Some(4)));
    for invalid in [
        r#"{"replaces":3,"upsert":{"hosts":{}}}"#,
        r#"{"replaces":3,"remove":{"hosts":[]}}"#,
        r#"{"upsert":{}}"#,
        r#"{"replaces":3,"upsert":{"licences":{"renderer":{}}}}"#,
    ] {
        let (status, body) = read(patch(invalid).await.unwrap()).await;
        assert_eq!(status, 400, "{invalid}");
        let message = body["error"]["message"]
            .as_str()
            .or(body["message"].as_str());
        assert!(message.is_some_and(|message| message.len() > 10), "{body}");
    }
}

#[tokio::test]
async fn get_configuration_returns_replica_and_gateway_identity() {
    let fixture = Fixture::start(|_| panic!("a read of the replica reached the leader")).await;
    loop {
        let (status, body) = read(fixture.get("/v1/configuration").await).await;
        assert_eq!(status, 200);
        assert_eq!(body["node"], GATEWAY_NODE.to_string());
        assert!(body["configuration"]["timings"].is_object());
        if body["version"] == 1 {
            break;
        }
    }
}

#[tokio::test]
async fn configuration_status_shows_version_of_each_member() {
    let member = |node, role, configuration: Option<u64>| MemberView {
        address: Address {
            node: NodeId(node),
            role,
            zone: "z-1".parse().unwrap(),
            socket: ([127, 0, 0, 1], 1).into(),
        },
        status: "session".to_owned(),
        links: None,
        since_last_contact: Milliseconds(10),
        configuration: configuration.map(ConfigurationVersion),
    };
    // Versions of a coordinator and an agent, and whether every member has the newest.
    let reports = [
        (Some(4), Some(3), false),
        (Some(3), Some(4), false),
        (None, Some(4), false),
        (Some(4), Some(4), true),
    ];
    let mut replies = reports.into_iter().cycle();
    let script = move |_: &Operation| {
        let (coordinator, agent, _) = replies.next().unwrap();
        Some(Ok(OperationReply::Members(vec![
            member(1, Role::Coordinator, Some(4)),
            member(2, Role::Coordinator, coordinator),
            member(3, Role::Agent, agent),
        ])))
    };
    let fixture = Fixture::start(script).await;
    for (coordinator, agent, everywhere) in reports {
        let (_, body) = read(fixture.get("/v1/configuration/status").await).await;
        assert_eq!(body["newest"], 4);
        assert_eq!(body["everywhere"], everywhere);
        assert_eq!(body["members"][1]["version"].as_u64(), coordinator);
        assert_eq!(body["members"][2]["version"].as_u64(), agent);
    }
    let (_, body) = read(fixture.get("/v1/members").await).await;
    assert_eq!(body["members"][2]["role"], "agent");
}

#[tokio::test]
async fn drain_and_lost_routes_change_runners() {
    let fixture = Fixture::start(|operation| {
        Some(Ok(match operation {
            Operation::DrainRunner { runner, draining } => {
                assert_eq!((runner.as_str(), *draining), ("r-1", true));
                OperationReply::Accepted
            }
            Operation::DeclareRunnerLost { .. } => OperationReply::RunsLost {
                runs: vec![RunId {
                    term: Term(2),
                    sequence: 9,
                }],
            },
            Operation::ListRunners => OperationReply::Runners(Vec::new()),
            Operation::ListQueues => OperationReply::Queues(Vec::new()),
            Operation::ListTenants => OperationReply::Tenants(Vec::new()),
            other => panic!("{other:?}"),
        }))
    })
    .await;
    let drained = fixture.post("/v1/runners/r-1/drain", r#"{"draining":true}"#);
    assert_eq!(drained.await.status(), 200);
    assert_eq!(
        fixture.post("/v1/runners/r-1/drain", "{}").await.status(),
        400
    );
    let (_, body) = read(fixture.post("/v1/runners/r-1/lost", "").await).await;
    assert_eq!(body["runs"][0], "2-9");
    for view in ["runners", "queues", "tenants"] {
        let (status, body) = read(fixture.get(&format!("/v1/{view}")).await).await;
        assert!(status == 200 && body[view].is_array(), "{body}");
    }
}

#[tokio::test]
async fn keys_are_required_once_an_operator_key_is_configured() {
    let document = ClusterConfiguration {
        keys: vec![Key {
            id: "boss".parse().unwrap(),
            role: KeyRole::Operator,
            hash: KeyHash::new([3; 16], b"secret"),
        }],
        ..ClusterConfiguration::default()
    };
    let script = Box::new(|_: &Operation| Some(Ok(OperationReply::Queues(Vec::new()))));
    let setup = Setup {
        document,
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup, script).await;
    let ask = |header: Option<&'static str>| {
        let mut request = fixture.request(Method::GET, "/v1/queues");
        if let Some(value) = header {
            request = request.header("Authorization", value);
        }
        async { request.send().await.unwrap() }
    };
    // The document arrives after the first lease. Until then, no key is required.
    while ask(None).await.status() == 200 {}
    let rejected = ask(None).await;
    assert_eq!(rejected.status(), 401);
    assert_eq!(rejected.headers()["www-authenticate"], "Bearer");
    assert_eq!(ask(Some("Bearer boss.wrong")).await.status(), 401);
    assert_eq!(ask(Some("Basic boss.secret")).await.status(), 401);
    assert_eq!(ask(Some("Bearer boss.secret")).await.status(), 200);
    assert_eq!(ask(Some("bearer boss.secret")).await.status(), 200);
}
