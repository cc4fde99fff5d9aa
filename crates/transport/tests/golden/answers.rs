//! Samples of final replies to requests.

use super::bytes::Sample;
use super::raft::link_healths;
use super::samples::{
    QUEUE_MODES, address, document, key, name, reservations, resources, run, run_closes, task,
};
use configuration::{ConfigurationError, LeftOutQueues};
use scheduler::{Decision, DecisionKind, NotPlacedReason, RunnerView};
use std::collections::BTreeMap;
use transport::{
    DecisionEntry, DecisionEvent, LicenceView, MemberView, OperationReply, PeerMessage, QueueView,
    Rejection, RejectionCode, Reply, RequestId, TenantView,
};
use types::*;

const AT: WallTime = WallTime(1_700_000_000_444);

pub const JOB_STATES: [JobState; 5] = [
    JobState::Waiting,
    JobState::Running,
    JobState::Done,
    JobState::Failed,
    JobState::Cancelled,
];

pub const REJECTION_CODES: [RejectionCode; 8] = [
    RejectionCode::Invalid,
    RejectionCode::Unauthenticated,
    RejectionCode::Forbidden,
    RejectionCode::NotFound,
    RejectionCode::Conflict,
    RejectionCode::Overloaded,
    RejectionCode::Unavailable,
    RejectionCode::TimedOut,
];

fn job_view(state: JobState) -> JobView {
    JobView {
        tenant: name("acorn"),
        job: name("birch-7"),
        queue: name("hazel"),
        state,
        reason: Some("it broke".to_owned()),
        submitted_at: WallTime(1_700_000_000_501),
        first_reserved_at: Some(WallTime(1_700_000_000_502)),
        ended_at: Some(WallTime(1_700_000_000_503)),
        steps: vec![StepView {
            name: name("oak"),
            tasks: 130,
            done: 131,
            running: 132,
            failed: 133,
            failed_runs: 134,
        }],
    }
}

fn runner_view(draining: bool) -> RunnerView {
    RunnerView {
        runner: name("rowan"),
        incarnation: RunnerIncarnation(135),
        pool: name("maple"),
        rack: name("beech"),
        labels: BTreeMap::from([("wood".to_owned(), "soft".to_owned())]),
        capacity: resources(17),
        free: resources(13),
        open_runs: 136,
        draining,
        on_probation: !draining,
        since_last_contact: Milliseconds(137),
    }
}

fn queue_view(mode: configuration::QueueMode) -> QueueView {
    QueueView {
        queue: name("hazel"),
        pool: name("maple"),
        mode,
        unfinished_jobs: 138,
        ready_tasks: 139,
        open_runs: 140,
    }
}

fn tenant_view() -> TenantView {
    TenantView {
        tenant: name("acorn"),
        unfinished_jobs: 141,
        ready_tasks: 142,
        usage: resources(18),
        resource_limit: resources(19),
        ended_jobs: 143,
        late_jobs: 144,
        failed_jobs: 145,
        budget_exceeded: true,
    }
}

fn licence_view() -> LicenceView {
    LicenceView {
        licence: name("cedar"),
        seats: 146,
        used: 147,
        waiting: 148,
    }
}

fn member_views() -> Vec<MemberView> {
    let [slow_disk, _] = link_healths();
    vec![
        MemberView {
            address: address(905, Role::Coordinator),
            status: "voter".to_owned(),
            since_last_contact: Milliseconds(149),
            configuration: Some(ConfigurationVersion(150)),
            links: Some(slow_disk),
        },
        MemberView {
            address: address(906, Role::Gateway),
            status: "session".to_owned(),
            since_last_contact: Milliseconds(151),
            configuration: None,
            links: None,
        },
    ]
}

pub fn not_placed_reasons() -> Vec<NotPlacedReason> {
    vec![
        NotPlacedReason::TenantAtLimit,
        NotPlacedReason::LimitReservedForUrgent,
        NotPlacedReason::NoSeat,
        NotPlacedReason::TenantAboveShare,
        NotPlacedReason::RunnersAway,
        NotPlacedReason::NoCapacity,
        NotPlacedReason::NoRunnerWithLabels,
        NotPlacedReason::RunnerOnProbation,
        NotPlacedReason::ReservedForLargerTask {
            runner: name("rowan"),
        },
        NotPlacedReason::BeforeItsTime { not_before: AT },
        NotPlacedReason::WaitingForStep,
        NotPlacedReason::QueuePaused,
        NotPlacedReason::QueueShadow,
        NotPlacedReason::NoRunnerKnown,
        NotPlacedReason::AlreadyRunning,
        NotPlacedReason::ReservedForUrgent {
            runner: name("sorb"),
        },
    ]
}

/// Returns a placed task for each reservation, and a task that was not placed for
/// each reason.
pub fn decision_kinds() -> Vec<DecisionKind> {
    let placed = reservations()
        .into_iter()
        .map(|reservation| DecisionKind::Placed {
            shadow: reservation.self_stop,
            reservation,
            runnable_tenants: 152,
        });
    let not_placed = not_placed_reasons()
        .into_iter()
        .map(|reason| DecisionKind::NotPlaced {
            task: task(153),
            reason,
        });
    placed.chain(not_placed).collect()
}

pub fn decision_events() -> Vec<DecisionEvent> {
    let dispatched = decision_kinds().into_iter().map(|kind| {
        DecisionEvent::Dispatch(Decision {
            at: AT,
            queue: name("hazel"),
            tenant: name("acorn"),
            kind,
        })
    });
    let ordered = DecisionEvent::Ordered {
        run: run(154),
        task: task(155),
        runner: name("rowan"),
        at: AT,
    };
    let closed = run_closes().into_iter().map(|close| DecisionEvent::Closed {
        run: run(156),
        task: task(157),
        runner: name("sorb"),
        close,
        at: AT,
    });
    let ended = JOB_STATES.map(|state| DecisionEvent::JobEnded { state, at: AT });
    let events = dispatched.chain([ordered]).chain(closed).chain(ended);
    events.collect()
}

fn decisions() -> Vec<DecisionEntry> {
    let numbered = (158..).zip(decision_events());
    let entries = numbered.map(|(number, event)| DecisionEntry {
        number,
        term: Term(39),
        job: number.is_multiple_of(2).then(|| key("acorn", "birch-8")),
        event,
    });
    entries.collect()
}

fn job_replies() -> Vec<Sample<OperationReply>> {
    let submitted = OperationReply::Submitted {
        number: JobNumber(200),
        known: true,
    };
    let jobs = OperationReply::Jobs {
        jobs: JOB_STATES.map(job_view).to_vec(),
        next: Some(JobNumber(201)),
    };
    let cancelled = OperationReply::Cancelled {
        cancelled: 202,
        finished: 203,
        unknown: vec![key("acorn", "birch-9")],
    };
    let explained = OperationReply::Explained {
        lines: vec!["it waits".to_owned(), "for rain".to_owned()],
    };
    let job = OperationReply::Job(Box::new(job_view(JobState::Failed)));
    let state = OperationReply::JobState(JobState::Cancelled);
    vec![
        Sample {
            name: "reply.submitted",
            value: submitted,
        },
        Sample {
            name: "reply.job",
            value: job,
        },
        Sample {
            name: "reply.jobs",
            value: jobs,
        },
        Sample {
            name: "reply.cancelled",
            value: cancelled,
        },
        Sample {
            name: "reply.explained",
            value: explained,
        },
        Sample {
            name: "reply.job-state",
            value: state,
        },
        Sample {
            name: "reply.count",
            value: OperationReply::Count(204),
        },
    ]
}

fn configuration_replies() -> Vec<Sample<OperationReply>> {
    let configured = OperationReply::Configured {
        version: ConfigurationVersion(205),
        known: true,
    };
    let configuration = OperationReply::Configuration {
        version: ConfigurationVersion(206),
        document: document(LeftOutQueues::Refuse),
    };
    vec![
        Sample {
            name: "reply.configured",
            value: configured,
        },
        Sample {
            name: "reply.configuration",
            value: configuration,
        },
        Sample {
            name: "reply.accepted",
            value: OperationReply::Accepted,
        },
    ]
}

fn cluster_replies() -> Vec<Sample<OperationReply>> {
    let lost = OperationReply::RunsLost {
        runs: vec![run(207), run(208)],
    };
    let runners = OperationReply::Runners(vec![runner_view(true), runner_view(false)]);
    let queues = OperationReply::Queues(QUEUE_MODES.map(queue_view).to_vec());
    let tenants = OperationReply::Tenants(vec![tenant_view()]);
    let licences = OperationReply::Licences(vec![licence_view()]);
    let members = OperationReply::Members(member_views());
    let decisions = OperationReply::Decisions(decisions());
    vec![
        Sample {
            name: "reply.runs-lost",
            value: lost,
        },
        Sample {
            name: "reply.runners",
            value: runners,
        },
        Sample {
            name: "reply.queues",
            value: queues,
        },
        Sample {
            name: "reply.tenants",
            value: tenants,
        },
        Sample {
            name: "reply.licences",
            value: licences,
        },
        Sample {
            name: "reply.members",
            value: members,
        },
        Sample {
            name: "reply.decisions",
            value: decisions,
        },
    ]
}

/// Returns samples of all replies to successful operations.
pub fn replies() -> Vec<Sample<OperationReply>> {
    let groups = [job_replies(), configuration_replies(), cluster_replies()];
    groups.into_iter().flatten().collect()
}

fn rejection(code: RejectionCode) -> Rejection {
    Rejection {
        code,
        message: "not now".to_owned(),
        retry_after: Some(Milliseconds(1_250)),
        problems: vec![ConfigurationError {
            path: "maple.leaf".to_owned(),
            message: "is missing".to_owned(),
        }],
    }
}

/// Returns a rejection with each code.
fn rejections() -> Vec<Sample<Rejection>> {
    let names = [
        "refusal.invalid",
        "refusal.unauthenticated",
        "refusal.forbidden",
        "refusal.not-found",
        "refusal.conflict",
        "refusal.overloaded",
        "refusal.unavailable",
        "refusal.timed-out",
    ];
    let rejections = names.into_iter().zip(REJECTION_CODES.map(rejection));
    rejections
        .map(|(name, value)| Sample { name, value })
        .collect()
}

pub fn samples() -> Vec<Sample<PeerMessage>> {
    let reply = |result| {
        PeerMessage::Reply(Reply {
            id: RequestId(209),
            result,
        })
    };
    let successful = replies().into_iter().map(|sample| Sample {
        name: sample.name,
        value: reply(Ok(sample.value)),
    });
    let rejected = rejections().into_iter().map(|sample| Sample {
        name: sample.name,
        value: reply(Err(sample.value)),
    });
    successful.chain(rejected).collect()
}
