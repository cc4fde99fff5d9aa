//! Samples of requests of callers and operators.

use super::bytes::Sample;
use super::samples::{document, job, key, name, update};
use configuration::LeftOutQueues;
use state_machine::CancelSelector;
use transport::{JobFilter, Operation, PeerMessage, Request, RequestId};
use types::{
    ConfigurationVersion, EntryAddress, JobAccess, JobNumber, JobState, Milliseconds, Urgency,
};

pub fn selectors() -> [CancelSelector; 2] {
    [
        CancelSelector::Jobs(vec![key("acorn", "birch-3")]),
        CancelSelector::Tenant {
            tenant: name("acorn"),
            queue: Some(name("hazel")),
        },
    ]
}

fn job_operations() -> Vec<Sample<Operation>> {
    let [cancel_jobs, cancel_tenant] = selectors().map(Operation::Cancel);
    let filter = JobFilter {
        tenant: Some(name("acorn")),
        state: Some(JobState::Cancelled),
        after: Some(JobNumber(120)),
        limit: 121,
    };
    let submit = Operation::Submit(job(Urgency::Urgent));
    let get = Operation::GetJob(key("acorn", "birch-4"));
    let get_state = Operation::GetJobState(key("acorn", "birch-5"));
    let explain = Operation::Explain(key("acorn", "birch-6"));
    vec![
        Sample {
            name: "request.submit",
            value: submit,
        },
        Sample {
            name: "request.get-job",
            value: get,
        },
        Sample {
            name: "request.get-job-state",
            value: get_state,
        },
        Sample {
            name: "request.list-jobs",
            value: Operation::ListJobs(filter),
        },
        Sample {
            name: "request.cancel-jobs",
            value: cancel_jobs,
        },
        Sample {
            name: "request.cancel-tenant",
            value: cancel_tenant,
        },
        Sample {
            name: "request.explain",
            value: explain,
        },
        Sample {
            name: "request.count-jobs",
            value: Operation::CountJobs(name("hazel")),
        },
    ]
}

/// Returns samples of the operations on jobs that are submitted by entries.
fn entry_operations() -> Vec<Sample<Operation>> {
    let access = JobAccess {
        tenants: vec![name("acorn"), name("aspen")],
        open_entry: Some(EntryAddress::new("one.example/hazel/")),
    };
    let closed = JobAccess {
        open_entry: None,
        ..access.clone()
    };
    let submit = Operation::SubmitByEntry {
        spec: job(Urgency::Normal),
        entry: EntryAddress::new("one.example/hazel/"),
        access: access.clone(),
    };
    let get_state = Operation::GetAccessibleJobState {
        job: name("birch-7"),
        access,
    };
    let cancel = Operation::CancelAccessible {
        job: name("birch-8"),
        access: closed,
    };
    vec![
        Sample {
            name: "request.submit-by-entry",
            value: submit,
        },
        Sample {
            name: "request.get-accessible-job-state",
            value: get_state,
        },
        Sample {
            name: "request.cancel-accessible",
            value: cancel,
        },
    ]
}

fn configuration_operations() -> Vec<Sample<Operation>> {
    let put = Operation::PutConfiguration {
        version: ConfigurationVersion(122),
        document: document(LeftOutQueues::Drain),
    };
    let update_configuration = Operation::UpdateConfiguration {
        version: ConfigurationVersion(123),
        update: update(),
    };
    let confirm = Operation::ConfirmUpdate {
        version: ConfigurationVersion(124),
        update: update(),
    };
    let newest = Operation::GetNewestConfiguration;
    vec![
        Sample {
            name: "request.put-configuration",
            value: put,
        },
        Sample {
            name: "request.get-configuration",
            value: Operation::GetConfiguration,
        },
        Sample {
            name: "request.get-newest-configuration",
            value: newest,
        },
        Sample {
            name: "request.update-configuration",
            value: update_configuration,
        },
        Sample {
            name: "request.confirm-update",
            value: confirm,
        },
    ]
}

fn cluster_operations() -> Vec<Sample<Operation>> {
    let drain = Operation::DrainRunner {
        runner: name("rowan"),
        draining: true,
    };
    let declare = Operation::DeclareRunnerLost {
        runner: name("sorb"),
    };
    let decisions = Operation::Decisions {
        after: 125,
        limit: 126,
    };
    vec![
        Sample {
            name: "request.drain-runner",
            value: drain,
        },
        Sample {
            name: "request.declare-runner-lost",
            value: declare,
        },
        Sample {
            name: "request.list-runners",
            value: Operation::ListRunners,
        },
        Sample {
            name: "request.list-queues",
            value: Operation::ListQueues,
        },
        Sample {
            name: "request.list-tenants",
            value: Operation::ListTenants,
        },
        Sample {
            name: "request.list-licences",
            value: Operation::ListLicences,
        },
        Sample {
            name: "request.list-members",
            value: Operation::ListMembers,
        },
        Sample {
            name: "request.decisions",
            value: decisions,
        },
    ]
}

/// Returns samples of all operations.
pub fn operations() -> Vec<Sample<Operation>> {
    let groups = [
        job_operations(),
        entry_operations(),
        configuration_operations(),
        cluster_operations(),
    ];
    groups.into_iter().flatten().collect()
}

pub fn samples() -> Vec<Sample<PeerMessage>> {
    let operations = operations().into_iter();
    operations
        .map(|sample| Sample {
            name: sample.name,
            value: PeerMessage::Request(Request {
                id: RequestId(127),
                time_left: Milliseconds(4_500),
                operation: sample.value,
            }),
        })
        .collect()
}
