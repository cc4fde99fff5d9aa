//! Bodies of operators' lists and of operations on runners.

use crate::recorded::{assert_body, read_back};
use crate::values::{RUN, address, labels, name, resources};
use api::operator::{
    AcceptedBody, DrainBody, LicenceViewBody, LicencesBody, MemberViewBody, MembersBody,
    QueueViewBody, QueuesBody, RunnerViewBody, RunnersBody, RunsLostBody, TenantViewBody,
    TenantsBody,
};
use configuration::QueueMode;
use consensus::LinkHealth;
use scheduler::RunnerView;
use transport::{LicenceView, MemberView, QueueView, TenantView};
use types::{ConfigurationVersion, Milliseconds, Resources, Role, RunnerIncarnation};

#[test]
fn drain_round_trips_through_golden_file() {
    let body: DrainBody = read_back("drain.json");
    assert!(body.draining);
}

#[test]
fn responses_to_runner_operations_match_golden_files() {
    assert_body("accepted.json", &AcceptedBody { accepted: true });
    read_back::<AcceptedBody>("accepted.json");
    let body = RunsLostBody {
        runs: vec![RUN.to_string()],
    };
    assert_body("runs_lost.json", &body);
    read_back::<RunsLostBody>("runs_lost.json");
}

fn runner() -> RunnerView {
    RunnerView {
        runner: name("stills-3"),
        incarnation: RunnerIncarnation(6),
        pool: name("stills"),
        rack: name("rack-9"),
        labels: labels(),
        capacity: resources(20),
        free: resources(10),
        open_runs: 5,
        draining: true,
        on_probation: true,
        since_last_contact: Milliseconds(250),
    }
}

#[test]
fn list_of_runners_matches_golden_file() {
    let draining = RunnerView {
        on_probation: false,
        ..runner()
    };
    let views = [runner(), draining].map(RunnerViewBody::from);
    let body = RunnersBody {
        runners: views.to_vec(),
    };
    assert_body("runners.json", &body);
    read_back::<RunnersBody>("runners.json");
}

#[test]
fn list_of_queues_of_every_mode_matches_golden_file() {
    let modes = every!(QueueMode: Shadow, Active, Paused, Draining);
    let views = modes.map(|mode| QueueView {
        queue: name("batch"),
        pool: name("stills"),
        mode,
        unfinished_jobs: 1,
        ready_tasks: 2,
        open_runs: 3,
    });
    let body = QueuesBody {
        queues: views.map(QueueViewBody::from).to_vec(),
    };
    assert_body("queues.json", &body);
    read_back::<QueuesBody>("queues.json");
}

#[test]
fn list_of_tenants_matches_golden_file() {
    let full = TenantView {
        tenant: name("poster"),
        unfinished_jobs: 1,
        ready_tasks: 2,
        usage: resources(10),
        resource_limit: resources(20),
        ended_jobs: 3,
        late_jobs: 4,
        failed_jobs: 5,
        budget_exceeded: true,
    };
    let unlimited = TenantView {
        resource_limit: Resources::UNLIMITED,
        budget_exceeded: false,
        ..full.clone()
    };
    let views = [full, unlimited].map(TenantViewBody::from);
    let body = TenantsBody {
        tenants: views.to_vec(),
    };
    assert_body("tenants.json", &body);
    read_back::<TenantsBody>("tenants.json");
}

#[test]
fn list_of_licences_matches_golden_file() {
    let view = LicenceView {
        licence: name("renderer"),
        seats: 12,
        used: 7,
        waiting: 3,
    };
    let body = LicencesBody {
        licences: vec![LicenceViewBody::from(view)],
    };
    assert_body("licences.json", &body);
    read_back::<LicencesBody>("licences.json");
}

fn member(node: u64, role: Role, status: &str) -> MemberView {
    MemberView {
        address: address(node, role),
        status: status.to_owned(),
        since_last_contact: Milliseconds(250),
        configuration: None,
        links: None,
    }
}

fn voter(node: u64, links: LinkHealth) -> MemberView {
    MemberView {
        configuration: Some(ConfigurationVersion(72)),
        links: Some(links),
        ..member(node, Role::Coordinator, "voter")
    }
}

#[test]
fn list_of_members_of_every_role_matches_golden_file() {
    let full = LinkHealth {
        good_links: 3,
        bad_links: 1,
        slow_disk: true,
        recently_transferred: true,
    };
    let without_transfer = LinkHealth {
        recently_transferred: false,
        ..full
    };
    let roles = every!(Role: Coordinator, Gateway, Agent);
    let sessions = roles.map(|role| member(u64::MAX, role, "session"));
    let voters = [voter(1, full), voter(2, without_transfer)];
    let members = voters.into_iter().chain(sessions);
    let body = MembersBody {
        members: members.map(MemberViewBody::from).collect(),
    };
    assert_body("members.json", &body);
    read_back::<MembersBody>("members.json");
}
