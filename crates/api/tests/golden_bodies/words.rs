//! Serialized names of the variants of enums.

use crate::recorded::assert_body;
use api::configuration::{LeftOut, QueueMode};
use api::decision::{Close, Reason};
use api::job::{JobState, Urgency};
use api::key::RoleBody;
use api::rejection::Code;
use api::runner::{AnswerName, OrderName, OutcomeName, ReasonName};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Returns the serialized name of each variant. Panics if a name does not parse
/// as the variant again.
fn serialized_names<Variant, const COUNT: usize>(variants: [Variant; COUNT]) -> Vec<Value>
where
    Variant: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let serialized = |variant: Variant| {
        let name = serde_json::to_value(&variant).unwrap();
        assert_eq!(
            serde_json::from_value::<Variant>(name.clone()).unwrap(),
            variant
        );
        name
    };
    variants.map(serialized).to_vec()
}

/// Returns the names in the bodies of callers and operators.
fn api_names() -> BTreeMap<&'static str, Vec<Value>> {
    BTreeMap::from([
        (
            "urgency of a job",
            serialized_names(every!(Urgency: Urgent, Normal)),
        ),
        (
            "state of a job",
            serialized_names(every!(JobState: Waiting, Running, Done, Failed, Cancelled)),
        ),
        (
            "mode of a queue",
            serialized_names(every!(QueueMode: Shadow, Active, Paused, Draining)),
        ),
        (
            "queues left out",
            serialized_names(every!(LeftOut: Refuse, Drain)),
        ),
        (
            "role of a key",
            serialized_names(every!(RoleBody: Caller, Operator, Runner)),
        ),
        (
            "code of a refusal",
            serialized_names(every!(Code:
                Invalid,
                Unauthenticated,
                Forbidden,
                NotFound,
                Conflict,
                Overloaded,
                Unavailable,
                TimedOut,
            )),
        ),
    ])
}

/// Returns the names in the decision log.
fn decision_names() -> BTreeMap<&'static str, Vec<Value>> {
    BTreeMap::from([
        (
            "reason of a decision",
            serialized_names(every!(Reason:
                TenantAtLimit,
                LimitReservedForUrgent,
                NoSeat,
                TenantAboveShare,
                RunnersAway,
                NoCapacity,
                NoRunnerWithLabels,
                RunnerOnProbation,
                ReservedForLargerTask,
                BeforeItsTime,
                WaitingForStep,
                QueuePaused,
                QueueShadow,
                NoRunnerKnown,
                AlreadyRunning,
                ReservedForUrgent,
            )),
        ),
        (
            "close of a run",
            serialized_names(
                every!(Close: Done, Failed, Stopped, Revoked, Lost, Rejected, TimedOut),
            ),
        ),
    ])
}

/// Returns the names in the bodies between runners and their agent.
fn runner_names() -> BTreeMap<&'static str, Vec<Value>> {
    BTreeMap::from([
        (
            "outcome at a runner",
            serialized_names(every!(OutcomeName: Done, Failed, Stopped)),
        ),
        (
            "order",
            serialized_names(every!(OrderName: Start, Stop, Revoke)),
        ),
        (
            "answer to an order",
            serialized_names(
                every!(AnswerName: Started, Stopping, Revoked, Active, Ended, Rejected),
            ),
        ),
        (
            "reason of a refused order",
            serialized_names(every!(ReasonName:
                StaleTerm,
                OtherIncarnation,
                StaleHeartbeat,
                KnownRun,
                NoCapacity,
                Draining,
                Unhealthy,
            )),
        ),
    ])
}

#[test]
fn every_enum_variant_has_golden_name() {
    assert_body("words_outer.json", &api_names());
    assert_body("words_decisions.json", &decision_names());
    assert_body("words_runners.json", &runner_names());
}
