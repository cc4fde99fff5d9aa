//! The words that stand for the variants of enums.

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

/// The word of each value; each must be read as the value again.
fn words<Word, const COUNT: usize>(all: [Word; COUNT]) -> Vec<Value>
where
    Word: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let word = |value: Word| {
        let word = serde_json::to_value(&value).unwrap();
        assert_eq!(serde_json::from_value::<Word>(word.clone()).unwrap(), value);
        word
    };
    all.map(word).to_vec()
}

/// Words of what callers and operators send and read.
fn outer_words() -> BTreeMap<&'static str, Vec<Value>> {
    BTreeMap::from([
        ("urgency of a job", words(every!(Urgency: Urgent, Normal))),
        (
            "state of a job",
            words(every!(JobState: Waiting, Running, Done, Failed, Cancelled)),
        ),
        (
            "mode of a queue",
            words(every!(QueueMode: Shadow, Active, Paused, Draining)),
        ),
        ("queues left out", words(every!(LeftOut: Refuse, Drain))),
        (
            "role of a key",
            words(every!(RoleBody: Caller, Operator, Runner)),
        ),
        (
            "code of a refusal",
            words(every!(Code:
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

/// Words of the decision log.
fn decision_words() -> BTreeMap<&'static str, Vec<Value>> {
    BTreeMap::from([
        (
            "reason of a decision",
            words(every!(Reason:
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
            )),
        ),
        (
            "close of a run",
            words(every!(Close: Done, Failed, Stopped, Revoked, Lost, Rejected, TimedOut)),
        ),
    ])
}

/// Words between runners and their agent.
fn runner_words() -> BTreeMap<&'static str, Vec<Value>> {
    BTreeMap::from([
        (
            "outcome at a runner",
            words(every!(OutcomeName: Done, Failed, Stopped)),
        ),
        ("order", words(every!(OrderName: Start, Stop, Revoke))),
        (
            "answer to an order",
            words(every!(AnswerName: Started, Stopping, Revoked, Active, Ended, Rejected)),
        ),
        (
            "reason of a refused order",
            words(every!(ReasonName:
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
fn every_variant_has_its_recorded_word() {
    assert_body("words_outer.json", &outer_words());
    assert_body("words_decisions.json", &decision_words());
    assert_body("words_runners.json", &runner_words());
}
