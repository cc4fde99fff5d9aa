//! What operators list, and orders about runners.

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
fn a_drain_is_read_as_recorded() {
    let body: DrainBody = read_back("drain.json");
    assert!(body.draining);
}

#[test]
fn orders_are_answered_as_recorded() {
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
fn runners_are_listed_as_recorded() {
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
fn queues_of_every_mode_are_listed_as_recorded() {
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
fn tenants_are_listed_as_recorded() {
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
    let without_ceiling = TenantView {
        resource_limit: Resources::UNLIMITED,
        budget_exceeded: false,
        ..full.clone()
    };
    let views = [full, without_ceiling].map(TenantViewBody::from);
    let body = TenantsBody {
        tenants: views.to_vec(),
    };
    assert_body("tenants.json", &body);
    read_back::<TenantsBody>("tenants.json");
}

#[test]
fn licences_are_listed_as_recorded() {
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
fn members_of_every_role_are_listed_as_recorded() {
    let full = LinkHealth {
        good_links: 3,
        bad_links: 1,
        slow_disk: true,
        recently_transferred: true,
    };
    let slow = LinkHealth {
        recently_transferred: false,
        ..full
    };
    let sessions = every!(Role: Coordinator, Gateway, Agent);
    let sessions = sessions.map(|role| member(u64::MAX, role, "session"));
    let voters = [voter(1, full), voter(2, slow)];
    let members = voters.into_iter().chain(sessions);
    let body = MembersBody {
        members: members.map(MemberViewBody::from).collect(),
    };
    assert_body("members.json", &body);
    read_back::<MembersBody>("members.json");
}
