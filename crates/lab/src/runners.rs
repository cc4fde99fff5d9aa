//! Emulated runners inside the lab process, each on the address of its agent.

use crate::fleet::Member;
use crate::{History, LabError};
use checker::Event;
use emulator::runner::{Behaviour, RunnerEvent, RunnerOptions};
use emulator::shell::{LeaseClock, RunnerHandle, RunnerServer};
use emulator::workload::RunnerTemplate;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use types::{RunnerId, RunnerIncarnation};

/// Settings of one emulated runner.
#[derive(Debug, Clone)]
pub struct RunnerPlan {
    /// Id of the runner, `runner-<ordinal of its agent>`.
    pub name: String,
    /// Base URL of the agent that the runner reports to.
    pub agent_url: String,
    /// Socket on which the runner accepts orders; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Pool, rack, labels and capacity.
    pub template: RunnerTemplate,
    /// Seed of the runner's random draws.
    pub seed: u64,
}

impl RunnerPlan {
    /// Returns the settings of a runner on the address of this agent.
    pub fn for_agent(agent: &Member, template: RunnerTemplate, seed: u64) -> Self {
        let ordinal = agent.id.ordinal;
        Self {
            name: format!("runner-{ordinal}"),
            agent_url: agent.http_url(),
            listen: SocketAddr::new(agent.http.ip(), 0),
            template,
            seed: seed.wrapping_add(u64::from(ordinal)),
        }
    }

    fn options(&self) -> Result<RunnerOptions, LabError> {
        let runner = RunnerId::new(&self.name).map_err(|message| self.error(&message))?;
        Ok(RunnerOptions {
            runner,
            incarnation: RunnerIncarnation(1),
            pool: self.template.pool.clone(),
            rack: self.template.rack.clone(),
            labels: self.template.labels.clone(),
            capacity: self.template.capacity,
            behaviour: Behaviour::Healthy,
            mutation: None,
            seed: self.seed,
        })
    }

    fn error(&self, message: &dyn std::error::Error) -> LabError {
        LabError::Runner {
            runner: self.name.clone(),
            message: message.to_string(),
        }
    }
}

/// Running emulated runners.
#[derive(Debug, Default)]
pub struct Runners {
    running: Vec<RunningRunner>,
}

#[derive(Debug)]
struct RunningRunner {
    handle: RunnerHandle,
    recorder: JoinHandle<()>,
}

impl Runners {
    /// Starts the runners; their events are recorded in the history.
    ///
    /// # Errors
    ///
    /// Fails if an emulated runner cannot bind its socket.
    pub async fn start(plans: Vec<RunnerPlan>, history: &History) -> Result<Self, LabError> {
        let mut runners = Self::default();
        for plan in plans {
            runners.add(&plan, history).await?;
        }
        Ok(runners)
    }

    /// Returns the number of running runners.
    pub fn count(&self) -> usize {
        self.running.len()
    }

    /// Kills all runners and waits until their events are in the history.
    pub async fn stop(self) {
        for runner in self.running {
            runner.handle.kill().await;
            // The task ends with the runner's events; it fails only by a panic.
            let _ = runner.recorder.await;
        }
    }

    async fn add(&mut self, plan: &RunnerPlan, history: &History) -> Result<(), LabError> {
        let options = plan.options()?;
        let (runner, incarnation) = (options.runner.clone(), options.incarnation);
        let started = RunnerServer::start(options, &plan.agent_url, None, plan.listen).await;
        let (handle, events) = started.map_err(|message| plan.error(&message))?;
        let recorder = Recorder {
            runner,
            incarnation,
            lease: handle.lease(),
            history: history.clone(),
        };
        self.running.push(RunningRunner {
            handle,
            recorder: tokio::spawn(recorder.run(events)),
        });
        Ok(())
    }
}

/// Records the events of one runner in the history.
struct Recorder {
    runner: RunnerId,
    incarnation: RunnerIncarnation,
    lease: LeaseClock,
    history: History,
}

impl Recorder {
    async fn run(self, mut events: mpsc::UnboundedReceiver<RunnerEvent>) {
        while let Some(event) = events.recv().await {
            self.record(self.to_event(event));
        }
        let runner = self.runner.clone();
        self.record(Event::RunnerStopped { runner });
    }

    fn record(&self, event: Event) {
        self.history.record(self.runner.as_str(), event);
    }

    fn to_event(&self, event: RunnerEvent) -> Event {
        let runner = self.runner.clone();
        match event {
            RunnerEvent::Started(spec) => Event::RunStarted {
                runner,
                incarnation: self.incarnation,
                run: spec.run,
                job: spec.job,
                step: spec.step,
                task: spec.task,
                resources: spec.resources,
            },
            RunnerEvent::Ended { run, outcome } => Event::RunEnded {
                runner,
                run,
                outcome,
                lease_until: self.lease.remaining().map(|left| self.history.now() + left),
            },
            RunnerEvent::EndRecorded { run } => Event::EndRecorded { runner, run },
            RunnerEvent::AcceptedStale(order) => Event::OrderAccepted {
                runner,
                term: order.term,
                stale: true,
            },
        }
    }
}
