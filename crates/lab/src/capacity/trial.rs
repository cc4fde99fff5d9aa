//! One trial: a fleet of real coordinators and gateways, hollow workers, a
//! load, and a window in which everything is measured.

use super::CapacityArguments;
use super::figures::Spread;
use super::hollow::{HollowPlan, HollowWorkers};
use super::load::{Counts, Load};
use super::observed::{Observed, Seen};
use super::plan::{POOL, Size};
use super::report::{Election, Measured, MemberFigures};
use super::traffic::Counters;
use super::usage::Usage;
use crate::fleet::{Member, timed_out};
use crate::process::Program;
use crate::runners::{RunnerPlan, Runners};
use crate::setup::{TrialFolder, put_configuration};
use crate::{Fleet, FleetPlan, History, LabError, MemberId};
use emulator::workload::RunnerTemplate;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use transport::ClusterKey;
use types::{Labels, PoolName, RackName, Role, Term};

/// Longest wait for daemons to be ready, and for workers to be known.
const START_TIME: Duration = Duration::from_secs(60);
/// Longest wait for the first start under a new leader.
const ELECTION_TIME: Duration = Duration::from_secs(30);
/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two looks at metrics.
const WAIT_INTERVAL: Duration = Duration::from_millis(500);
/// Where the kernel says how busy the machine is.
const MACHINE_LOAD: &str = "/proc/loadavg";

/// One reading of every daemon and of the hollow process.
struct Reading {
    at: Instant,
    members: BTreeMap<MemberId, (Usage, Counters)>,
    hollow: Usage,
    starts: u64,
    not_started: u64,
    sessions_lost: u64,
}

/// A running trial; all of it ends when it is dropped.
struct Trial {
    size: Size,
    fleet: Fleet,
    observed: Observed,
    http: reqwest::Client,
    real_runners: Runners,
    _hollow: HollowWorkers,
    _folder: TrialFolder,
}

/// Runs one trial from an empty disk.
///
/// # Errors
///
/// Fails if the fleet cannot be started, set up or measured.
pub async fn run(size: Size, arguments: &CapacityArguments) -> Result<Measured, LabError> {
    let mut trial = Trial::start(size, arguments).await?;
    let load = Load::new(trial.size.clone(), trial.fleet.gateway_urls())?;
    let sending = load.start();
    tokio::time::sleep(Duration::from_secs(arguments.warm_up)).await;

    trial.observed.begin_window();
    let before = trial.read().await?;
    tokio::time::sleep(Duration::from_secs(arguments.seconds)).await;
    let after = trial.read().await?;
    let seen = trial.observed.seen();
    let leader = trial.fleet.leader().await?;
    let mut measured = trial.conclude(leader, &before, &after, &seen, &load)?;
    if arguments.kill_leader {
        measured.election = trial.replace_leader(leader).await?;
    }
    drop(sending);
    trial.real_runners.stop().await;
    trial.fleet.kill_all();
    Ok(measured)
}

impl Trial {
    async fn start(size: Size, arguments: &CapacityArguments) -> Result<Self, LabError> {
        let folder = TrialFolder::create(arguments.keep)?;
        let plan = FleetPlan {
            coordinators: 3,
            gateways: 3,
            agents: arguments.real_agents,
        };
        let mut fleet = Fleet::build(&plan, Program::current()?, folder.path())?;
        fleet.start_all()?;
        fleet.wait_all_ready(START_TIME).await?;
        let history = History::default();
        let document = size.document(1).map_err(invalid)?;
        put_configuration(&fleet, &history, document).await?;
        let real_runners = start_real_runners(&fleet, &size, &history).await?;
        let observed = Observed::default();
        let hollow = start_hollow(&fleet, &size, &observed).await?;
        let workers = size.workers + real_runners.count();
        let trial = Self {
            size,
            fleet,
            observed,
            http: reqwest::Client::builder().no_proxy().build()?,
            real_runners,
            _hollow: hollow,
            _folder: folder,
        };
        trial.wait_for_runners(workers).await?;
        Ok(trial)
    }

    /// Waits until the leader's gauge counts all runners: the list of
    /// thousands of them would be a load of its own.
    async fn wait_for_runners(&self, count: usize) -> Result<(), LabError> {
        let started = Instant::now();
        loop {
            let mut known = 0.0_f64;
            for coordinator in self.fleet.of_role(Role::Coordinator) {
                let counters = self.counters(coordinator).await?;
                known = known.max(counters.get("cypressdrum_runners"));
            }
            if known >= count as f64 {
                return Ok(());
            }
            if started.elapsed() > START_TIME {
                let what = format!("{count} runners to be known, {known} are");
                return Err(timed_out(what, START_TIME));
            }
            tokio::time::sleep(WAIT_INTERVAL).await;
        }
    }

    async fn read(&self) -> Result<Reading, LabError> {
        let mut members = BTreeMap::new();
        for member in self.fleet.members() {
            let Some(process) = member.process_id() else {
                continue;
            };
            let counters = self.counters(member).await?;
            members.insert(member.id, (Usage::read(process)?, counters));
        }
        let seen = self.observed.seen();
        Ok(Reading {
            at: Instant::now(),
            members,
            hollow: Usage::read(std::process::id())?,
            starts: seen.starts,
            not_started: seen.not_started,
            sessions_lost: seen.sessions_lost,
        })
    }

    async fn counters(&self, member: &Member) -> Result<Counters, LabError> {
        let url = format!("{}/metrics", member.http_url());
        let text = self.http.get(url).send().await?.text().await?;
        Ok(Counters::parse(&text))
    }

    fn conclude(
        &self,
        leader: Option<MemberId>,
        before: &Reading,
        after: &Reading,
        seen: &Seen,
        load: &Load,
    ) -> Result<Measured, LabError> {
        let seconds = (after.at - before.at).as_secs_f64();
        let leader_counters = leader.and_then(|leader| after.members.get(&leader));
        let Counts {
            acknowledged,
            unacknowledged,
            unsent,
        } = load.counts();
        Ok(Measured {
            size: self.size.clone(),
            seconds,
            machine_load: machine_load()?,
            members: member_figures(leader, before, after, seconds),
            hollow: after.hollow.since(&before.hollow),
            starts_per_second: (after.starts - before.starts) as f64 / seconds,
            not_started: after.not_started - before.not_started,
            sessions_lost: after.sessions_lost - before.sessions_lost,
            open_runs: leader_counters
                .map_or(0.0, |(_, counters)| counters.get("cypressdrum_open_runs")),
            jobs_acknowledged: acknowledged.load(Ordering::Relaxed),
            jobs_unacknowledged: unacknowledged.load(Ordering::Relaxed),
            jobs_unsent: unsent.load(Ordering::Relaxed),
            ordinary_start_ms: Spread::of(&seen.ordinary),
            urgent_start_ms: Spread::of(&seen.urgent),
            configuration_ms: Spread::of(&self.configuration_times(seen, load)),
            configurations_incomplete: self.incomplete(seen, load),
            election: None,
        })
    }

    /// From put to the last hollow agent, for those that reached them all.
    fn configuration_times(&self, seen: &Seen, load: &Load) -> Vec<u64> {
        let put = load.configurations_put();
        let reached = seen.configurations.iter();
        let complete = reached.filter(|(_, arrivals)| arrivals.count >= self.size.workers);
        let times = complete.filter_map(|(version, arrivals)| {
            let put_at = put.get(&version.0)?;
            Some(arrivals.last.since(*put_at).0)
        });
        times.collect()
    }

    fn incomplete(&self, seen: &Seen, load: &Load) -> usize {
        let put = load.configurations_put();
        put.len() - self.configuration_times(seen, load).len()
    }

    /// Kills the leader and waits for the first start under the next one.
    async fn replace_leader(
        &mut self,
        leader: Option<MemberId>,
    ) -> Result<Option<Election>, LabError> {
        let Some(leader) = leader else {
            return Ok(None);
        };
        let last_term = |seen: &Seen| seen.first_starts.keys().next_back().copied();
        let before = last_term(&self.observed.seen()).unwrap_or(Term(0));
        self.fleet.kill(leader)?;
        let killed_at = transport::clock::now().monotonic;
        let started = Instant::now();
        loop {
            let seen = self.observed.seen();
            let mut later = seen.first_starts.range(before.next()..);
            if let Some((_, at)) = later.next() {
                let to_first_start_ms = at.since(killed_at).0;
                return Ok(Some(Election { to_first_start_ms }));
            }
            if started.elapsed() > ELECTION_TIME {
                eprintln!("{}", timed_out("a start after the election", ELECTION_TIME));
                return Ok(None);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn start_real_runners(
    fleet: &Fleet,
    size: &Size,
    history: &History,
) -> Result<Runners, LabError> {
    let template = RunnerTemplate {
        pool: PoolName::new(POOL).map_err(invalid)?,
        rack: RackName::new("rack-real").map_err(invalid)?,
        labels: Labels::new(),
        capacity: size.capacity(),
    };
    let plans = fleet
        .of_role(Role::Agent)
        .map(|agent| RunnerPlan::for_agent(agent, template.clone(), 1));
    Runners::start(plans.collect(), history).await
}

async fn start_hollow(
    fleet: &Fleet,
    size: &Size,
    observed: &Observed,
) -> Result<HollowWorkers, LabError> {
    let path = fleet.folder().join("cluster.key");
    let secret = std::fs::read(&path).map_err(LabError::file(&path))?;
    let leader = fleet.leader().await?;
    // A connection to each coordinator from each worker would go beyond the
    // descriptors that one process may have, so they start at the leader.
    let seeds = fleet
        .of_role(Role::Coordinator)
        .filter(|member| leader.is_none_or(|leader| leader == member.id))
        .map(|member| member.peer);
    let plan = HollowPlan {
        seeds: seeds.collect(),
        key: ClusterKey::new(secret),
        capacity: size.capacity(),
        observed: observed.clone(),
    };
    HollowWorkers::start(&plan, size.workers).await
}

fn member_figures(
    leader: Option<MemberId>,
    before: &Reading,
    after: &Reading,
    seconds: f64,
) -> Vec<MemberFigures> {
    let figures = after.members.iter().filter_map(|(id, (usage, counters))| {
        let (first_usage, first_counters) = before.members.get(id)?;
        Some(MemberFigures {
            member: id.to_string(),
            role: match (id.role, leader == Some(*id)) {
                (Role::Coordinator, true) => "leader".to_owned(),
                (Role::Coordinator, false) => "follower".to_owned(),
                (role, _) => role.to_string(),
            },
            share: usage.since(first_usage),
            traffic: counters.traffic_since(first_counters, seconds),
        })
    });
    figures.collect()
}

fn machine_load() -> Result<f64, LabError> {
    let text = std::fs::read_to_string(MACHINE_LOAD).map_err(LabError::file(MACHINE_LOAD))?;
    let first = text.split_whitespace().next();
    Ok(first.and_then(|load| load.parse().ok()).unwrap_or_default())
}

fn invalid(message: types::InvalidName) -> LabError {
    LabError::Runner {
        runner: "hollow".to_owned(),
        message: message.to_string(),
    }
}
