//! Task that owns the core of a runner.

use super::Command;
use super::heartbeat::AgentClient;
use super::lease::LeaseClock;
use super::orders::ReceivedOrder;
use crate::runner::{Runner, RunnerEvent, RunnerInstruction, RunnerOptions};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use types::{Milliseconds, Monotonic, Outcome};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Milliseconds = Milliseconds(200);
/// Minimum time between heartbeats while changes are waiting to be reported.
const HEARTBEAT_SPACING: Milliseconds = Milliseconds(20);

/// Core of a runner with its agent client, lease clock and history.
pub struct Driver {
    runner: Runner,
    agent: AgentClient,
    events: mpsc::UnboundedSender<RunnerEvent>,
    lease: LeaseClock,
    /// Heartbeat that awaits its answer. At most one, so that answers arrive in
    /// order.
    sending: JoinSet<Option<RunnerInstruction>>,
    last_heartbeat: Option<Monotonic>,
    /// Whether a run has ended or draining has begun since the last heartbeat, so
    /// that the next one is sent early.
    report_due: bool,
}

impl Driver {
    /// Creates a driver with a runner without runs.
    pub fn new(
        options: RunnerOptions,
        agent: AgentClient,
        events: mpsc::UnboundedSender<RunnerEvent>,
        lease: LeaseClock,
    ) -> Self {
        Self {
            runner: Runner::new(options, now()),
            agent,
            events,
            lease,
            sending: JoinSet::new(),
            last_heartbeat: None,
            report_due: false,
        }
    }

    /// Runs until [`Command::Kill`] arrives.
    pub async fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
        mut orders: mpsc::Receiver<ReceivedOrder>,
    ) {
        loop {
            self.advance();
            let pause = self.pause();
            tokio::select! {
                Some(command) = commands.recv() => match command {
                    Command::Drain => self.drain(),
                    Command::Behave(behaviour) => self.runner.behave(behaviour),
                    Command::Kill => return self.kill(),
                },
                Some(received) = orders.recv() => {
                    let (answer, events) = self.runner.order(now(), &received.order);
                    self.handle_events(events);
                    // Sending fails if the agent has closed its request.
                    let _ = received.answer.send(answer);
                }
                Some(joined) = self.sending.join_next() => {
                    if let Ok(Some(instruction)) = joined {
                        let events = self.runner.heartbeat_answered(now(), &instruction);
                        self.handle_events(events);
                    }
                }
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Ends the runs that are due, then sends a heartbeat if one is due.
    fn advance(&mut self) {
        let events = self.runner.tick(now());
        self.handle_events(events);
        let due = self.next_heartbeat().is_some_and(|due| now() >= due);
        if !due {
            return;
        }
        let sent_at = now();
        let report = self.runner.heartbeat(sent_at);
        self.last_heartbeat = Some(sent_at);
        self.report_due = false;
        let agent = self.agent.clone();
        self.sending.spawn(async move { agent.send(report).await });
    }

    /// Returns when the next heartbeat is due. `None` while one awaits its answer.
    fn next_heartbeat(&self) -> Option<Monotonic> {
        if !self.sending.is_empty() {
            return None;
        }
        let spacing = if self.report_due {
            HEARTBEAT_SPACING
        } else {
            HEARTBEAT_INTERVAL
        };
        let first = Monotonic::default();
        Some(self.last_heartbeat.map_or(first, |last| last + spacing))
    }

    fn pause(&self) -> Duration {
        let wakeups = [self.next_heartbeat(), self.runner.next_wakeup()];
        let next = wakeups.into_iter().flatten().min();
        let pause = next.map_or(HEARTBEAT_INTERVAL, |next| next.since(now()));
        Duration::from_millis(pause.0)
    }

    fn drain(&mut self) {
        self.runner.drain();
        self.report_due = true;
    }

    fn kill(&mut self) {
        let events = self.runner.tick(now());
        self.handle_events(events);
        for run in self.runner.active() {
            let outcome = Outcome::Stopped;
            self.handle_events(vec![RunnerEvent::Ended { run, outcome }]);
        }
    }

    fn handle_events(&mut self, events: Vec<RunnerEvent>) {
        self.lease.set(self.runner.lease_until());
        for event in events {
            self.report_due |= matches!(event, RunnerEvent::Ended { .. });
            // Sending fails if the receiver of the history was dropped, which is allowed.
            let _ = self.events.send(event);
        }
    }
}

fn now() -> Monotonic {
    transport::clock::now().monotonic
}
