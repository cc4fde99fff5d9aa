//! Capacity trial: a fleet of real coordinators and gateways with hollow workers
//! under load, measured over a window.

use super::CapacityArguments;
use super::figures::Percentiles;
use super::hollow::{HollowPlan, HollowWorkers};
use super::load::{Counts, Load};
use super::observed::{Observations, SharedObservations};
use super::plan::{POOL, Size};
use super::report::{Election, Measurements, MemberFigures};
use super::traffic::Counters;
use super::usage::UsageSample;
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

/// Timeout until daemons are ready, and until workers are registered.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout until the first start under a new leader.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the observations are polled after an election.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the coordinators' metrics are polled.
const METRICS_INTERVAL: Duration = Duration::from_millis(500);
/// File with the machine's load averages.
const LOAD_AVERAGE_FILE: &str = "/proc/loadavg";

/// Sample of every daemon, of the lab process and of the observations at one time.
struct Reading {
    at: Instant,
    members: BTreeMap<MemberId, (UsageSample, Counters)>,
    hollow: UsageSample,
    starts: u64,
    not_started: u64,
    sessions_lost: u64,
}

/// Running trial. Dropping it kills the daemons and stops the hollow workers.
struct Trial {
    size: Size,
    fleet: Fleet,
    observed: SharedObservations,
    http: reqwest::Client,
    real_runners: Runners,
    _hollow: HollowWorkers,
    _folder: TrialFolder,
}

/// Runs one trial with new data folders.
///
/// # Errors
///
/// Fails if the fleet cannot be started, set up or measured.
pub async fn run(size: Size, arguments: &CapacityArguments) -> Result<Measurements, LabError> {
    let mut trial = Trial::start(size, arguments).await?;
    let load = Load::new(trial.size.clone(), trial.fleet.gateway_urls())?;
    let load_tasks = load.start();
    tokio::time::sleep(Duration::from_secs(arguments.warm_up)).await;

    trial.observed.begin_window();
    let before = trial.read().await?;
    tokio::time::sleep(Duration::from_secs(arguments.seconds)).await;
    let after = trial.read().await?;
    let observations = trial.observed.snapshot();
    let leader = trial.fleet.leader().await?;
    let mut measured = trial.measurements(leader, &before, &after, &observations, &load)?;
    if arguments.kill_leader {
        measured.election = trial.replace_leader(leader).await?;
    }
    drop(load_tasks);
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
        fleet.wait_all_ready(START_TIMEOUT).await?;
        let history = History::default();
        let document = size.document(1).map_err(invalid_name)?;
        put_configuration(&fleet, &history, document).await?;
        let real_runners = start_real_runners(&fleet, &size, &history).await?;
        let observed = SharedObservations::default();
        let hollow = start_hollow_workers(&fleet, &size, &observed).await?;
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

    /// Waits until the leader's gauge counts all runners. Reading the list of
    /// thousands of runners instead would add load.
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
            if started.elapsed() > START_TIMEOUT {
                let what = format!("{count} runners to be known, {known} are");
                return Err(timed_out(what, START_TIMEOUT));
            }
            tokio::time::sleep(METRICS_INTERVAL).await;
        }
    }

    async fn read(&self) -> Result<Reading, LabError> {
        let mut members = BTreeMap::new();
        for member in self.fleet.members() {
            let Some(process) = member.process_id() else {
                continue;
            };
            let counters = self.counters(member).await?;
            members.insert(member.id, (UsageSample::read(process)?, counters));
        }
        let observations = self.observed.snapshot();
        Ok(Reading {
            at: Instant::now(),
            members,
            hollow: UsageSample::read(std::process::id())?,
            starts: observations.starts,
            not_started: observations.not_started,
            sessions_lost: observations.sessions_lost,
        })
    }

    async fn counters(&self, member: &Member) -> Result<Counters, LabError> {
        let url = format!("{}/metrics", member.http_url());
        let text = self.http.get(url).send().await?.text().await?;
        Ok(Counters::parse(&text))
    }

    fn measurements(
        &self,
        leader: Option<MemberId>,
        before: &Reading,
        after: &Reading,
        observations: &Observations,
        load: &Load,
    ) -> Result<Measurements, LabError> {
        let seconds = (after.at - before.at).as_secs_f64();
        let leader_counters = leader.and_then(|leader| after.members.get(&leader));
        let Counts {
            acknowledged,
            unacknowledged,
            unsent,
        } = load.counts();
        Ok(Measurements {
            size: self.size.clone(),
            seconds,
            machine_load: machine_load()?,
            members: all_member_figures(leader, before, after, seconds),
            hollow: after.hollow.since(&before.hollow),
            starts_per_second: (after.starts - before.starts) as f64 / seconds,
            not_started: after.not_started - before.not_started,
            sessions_lost: after.sessions_lost - before.sessions_lost,
            open_runs: leader_counters
                .map_or(0.0, |(_, counters)| counters.get("cypressdrum_open_runs")),
            jobs_acknowledged: acknowledged.load(Ordering::Relaxed),
            jobs_unacknowledged: unacknowledged.load(Ordering::Relaxed),
            jobs_unsent: unsent.load(Ordering::Relaxed),
            ordinary_start_ms: Percentiles::of(&observations.ordinary),
            urgent_start_ms: Percentiles::of(&observations.urgent),
            configuration_ms: Percentiles::of(&self.configuration_times(observations, load)),
            configurations_incomplete: self.count_incomplete(observations, load),
            election: None,
        })
    }

    /// Returns the times from put to arrival at the last hollow agent, in milliseconds,
    /// of the configurations that reached all of them.
    fn configuration_times(&self, observations: &Observations, load: &Load) -> Vec<u64> {
        let put_times = load.configurations_put();
        let reached = observations.configurations.iter();
        let complete = reached.filter(|(_, arrivals)| arrivals.count >= self.size.workers);
        let times = complete.filter_map(|(version, arrivals)| {
            let put_at = put_times.get(&version.0)?;
            Some(arrivals.last.since(*put_at).0)
        });
        times.collect()
    }

    /// Returns the number of configurations that did not reach all hollow agents.
    fn count_incomplete(&self, observations: &Observations, load: &Load) -> usize {
        let put = load.configurations_put();
        put.len() - self.configuration_times(observations, load).len()
    }

    /// Kills the leader and waits for the first start in a later term. Returns `None`
    /// without a leader or on a timeout.
    async fn replace_leader(
        &mut self,
        leader: Option<MemberId>,
    ) -> Result<Option<Election>, LabError> {
        let Some(leader) = leader else {
            return Ok(None);
        };
        let last_term =
            |observations: &Observations| observations.first_starts.keys().next_back().copied();
        let before = last_term(&self.observed.snapshot()).unwrap_or(Term(0));
        self.fleet.kill(leader)?;
        let killed_at = transport::clock::now().monotonic;
        let started = Instant::now();
        loop {
            let observations = self.observed.snapshot();
            let mut later = observations.first_starts.range(before.next()..);
            if let Some((_, at)) = later.next() {
                let to_first_start_ms = at.since(killed_at).0;
                return Ok(Some(Election { to_first_start_ms }));
            }
            if started.elapsed() > ELECTION_TIMEOUT {
                eprintln!(
                    "{}",
                    timed_out("a start after the election", ELECTION_TIMEOUT)
                );
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
        pool: PoolName::new(POOL).map_err(invalid_name)?,
        rack: RackName::new("rack-real").map_err(invalid_name)?,
        labels: Labels::new(),
        capacity: size.capacity(),
    };
    let plans = fleet
        .of_role(Role::Agent)
        .map(|agent| RunnerPlan::for_agent(agent, template.clone(), 1));
    Runners::start(plans.collect(), history).await
}

async fn start_hollow_workers(
    fleet: &Fleet,
    size: &Size,
    observed: &SharedObservations,
) -> Result<HollowWorkers, LabError> {
    let path = fleet.folder().join("cluster.key");
    let secret = std::fs::read(&path).map_err(LabError::file(&path))?;
    let leader = fleet.leader().await?;
    // Connections from each worker to each coordinator would exceed the limit of
    // file descriptors of one process, so the leader is the only seed.
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

fn all_member_figures(
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
    let text =
        std::fs::read_to_string(LOAD_AVERAGE_FILE).map_err(LabError::file(LOAD_AVERAGE_FILE))?;
    let first = text.split_whitespace().next();
    Ok(first.and_then(|load| load.parse().ok()).unwrap_or_default())
}

fn invalid_name(message: types::InvalidName) -> LabError {
    LabError::Runner {
        runner: "hollow".to_owned(),
        message: message.to_string(),
    }
}
