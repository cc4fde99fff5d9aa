//! What a leader holds in memory, and nothing else does.
//!
//! A leader of one term is built when its lease first holds, and dropped with
//! its role. If the lease lapses within the term (no other leader can have
//! been elected then) the view is kept and fed, so that run identifiers of the
//! term are not drawn twice, but nothing acts until the lease holds again.
//!
//! Nothing here sends or proposes: it collects, and the core lets out what the
//! lease allows at the end of an input.

use crate::admission::Admission;
use crate::audit::AuditCursor;
use crate::budget::Budgets;
use crate::core::{Mutation, Sender};
use crate::decisions::DecisionLog;
use crate::membership::Joiners;
use crate::placement::RejectedRun;
use crate::requests::rejection_unavailable;
use crate::runners::Runners;
use crate::runs::Runs;
use crate::sessions::Sessions;
use crate::waiting::{RequestKey, WaitingRequests};
use crate::{CoordinatorOptions, Effect};
use configuration::Timings;
use scheduler::Scheduler;
use state_machine::{ClosedRun, Command, StateMachine};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use transport::{OperationReply, PeerMessage, Rejection, Reply, RequestId};
use types::{
    Address, ClusterId, ConfigurationVersion, JobNumber, LogIndex, Milliseconds, Monotonic, NodeId,
    Now, OrderSequence, Reservation, RunId, RunnerId, RunnerOrder, Term,
};

/// Who waits for an entry to be applied.
#[derive(Debug, Clone)]
pub(crate) enum Waiting {
    /// A gateway's request.
    Request(RequestKey),
    /// The scheduler, for these choices.
    Reservations(Vec<Reservation>),
    /// Nobody; the changes say it all.
    Nobody,
}

/// A command to propose, and who waits for it.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) command: Command,
    pub(crate) waiting: Waiting,
}

/// How far the view has been rebuilt from the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rebuild {
    /// Tasks of jobs after this number are still to be published.
    After(Option<JobNumber>),
    /// Everything is published.
    Done,
}

/// What the leader knows of the cluster's shape, told by the core.
#[derive(Debug, Clone)]
pub(crate) struct LeaderIdentity {
    pub(crate) own: Address,
    pub(crate) cluster: ClusterId,
    pub(crate) term: Term,
}

/// The leader's view.
pub(crate) struct Leader {
    pub(crate) identity: LeaderIdentity,
    pub(crate) options: CoordinatorOptions,
    /// Whether the lease held when it was last looked at.
    pub(crate) serving: bool,
    /// When it was last seen to hold.
    served_at: Monotonic,
    /// Silence of runners counts from here at the earliest: the election, and
    /// later by as long as the lease did not hold since.
    pub(crate) failure_detection_start: Monotonic,
    pub(crate) elected_at: Monotonic,
    pub(crate) timings: Timings,
    pub(crate) scheduler: Scheduler,
    pub(crate) rebuild: Rebuild,
    pub(crate) sessions: Sessions,
    pub(crate) runners: Runners,
    pub(crate) runs: Runs,
    /// Who waits for each entry of this leader in the log.
    pub(crate) waiting: BTreeMap<LogIndex, Waiting>,
    /// Requests among those, and among the proposals not made yet.
    pub(crate) requests: WaitingRequests,
    pub(crate) reservations_in_flight: usize,
    pub(crate) admission: Admission,
    pub(crate) budgets: Budgets,
    pub(crate) decisions: DecisionLog,
    pub(crate) joiners: Joiners,
    /// What the other members of the group last said they have applied.
    pub(crate) member_versions: BTreeMap<NodeId, ConfigurationVersion>,
    pub(crate) audit: AuditCursor,
    pub(crate) next_order: OrderSequence,
    /// Reserved runs whose start is to leave at the end of this input.
    pub(crate) to_start: Vec<RunId>,
    pub(crate) closes: Vec<ClosedRun>,
    pub(crate) proposals: Vec<Proposal>,
    pub(crate) orders: Vec<(Sender, RunnerOrder)>,
    pub(crate) messages: Vec<(SocketAddr, PeerMessage)>,
    /// Ends that the record has taken since the last message left, by runner.
    pub(crate) recorded: BTreeMap<RunnerId, Vec<RunId>>,
    pub(crate) placement_due: bool,
    /// Rejected runs that stay bound in the view for a moment.
    pub(crate) rejected: VecDeque<RejectedRun>,
    pub(crate) timers: Timers,
}

/// When each periodic duty is next due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timers {
    pub(crate) placement: Monotonic,
    pub(crate) sweep: Monotonic,
    pub(crate) audit: Monotonic,
    pub(crate) forget: Monotonic,
    pub(crate) membership: Monotonic,
    pub(crate) gauges: Monotonic,
}

impl Timers {
    fn new(now: Monotonic) -> Self {
        Self {
            placement: now,
            sweep: now,
            audit: now,
            forget: now,
            membership: now,
            gauges: now,
        }
    }
}

impl Leader {
    /// A leader whose lease began to hold now. Open runs are entered at once,
    /// so that resource limits count them; tasks follow in slices. The scheduler is new.
    pub(crate) fn new(
        options: CoordinatorOptions,
        identity: LeaderIdentity,
        state_machine: &StateMachine,
        mut scheduler: Scheduler,
        now: Now,
    ) -> Self {
        let runs = adopt(state_machine, &mut scheduler, now.monotonic);
        Self {
            serving: true,
            served_at: now.monotonic,
            failure_detection_start: now.monotonic,
            elected_at: now.monotonic,
            timings: state_machine.configuration().1.timings.clone(),
            scheduler,
            rebuild: Rebuild::After(None),
            sessions: Sessions::default(),
            runners: Runners::default(),
            runs,
            waiting: BTreeMap::new(),
            requests: WaitingRequests::default(),
            reservations_in_flight: 0,
            admission: Admission::default(),
            budgets: Budgets::default(),
            decisions: DecisionLog::new(identity.term, options.decision_log_capacity),
            joiners: Joiners::default(),
            member_versions: BTreeMap::new(),
            audit: AuditCursor::default(),
            next_order: OrderSequence(0),
            to_start: Vec::new(),
            closes: Vec::new(),
            proposals: Vec::new(),
            orders: Vec::new(),
            messages: Vec::new(),
            recorded: BTreeMap::new(),
            placement_due: true,
            rejected: VecDeque::new(),
            timers: Timers::new(now.monotonic),
            identity,
            options,
        }
    }

    /// When it has something to do that cannot wait for the next tick.
    pub(crate) fn next_wakeup(&self, last_input: Now) -> Option<Monotonic> {
        if !self.serving {
            return None;
        }
        if self.rebuild != Rebuild::Done {
            return Some(last_input.monotonic);
        }
        if !self.may_place(last_input.monotonic) || self.reservations_in_flight > 0 {
            return None;
        }
        if self.placement_due {
            return Some(self.timers.placement);
        }
        let start = self.scheduler.next_start_time()?;
        let wait = Milliseconds(start.0.saturating_sub(last_input.wall.0));
        Some((last_input.monotonic + wait).max(self.timers.placement))
    }

    pub(crate) fn has_mutation(&self, mutation: Mutation) -> bool {
        self.options.mutation == Some(mutation)
    }

    /// Collects an answer to a sender.
    pub(crate) fn answer(&mut self, sender: &Sender, message: PeerMessage) {
        self.messages
            .push(sender.answer(&self.identity.own, message));
    }

    /// Collects the final answer to a request.
    pub(crate) fn reply(
        &mut self,
        sender: &Sender,
        id: RequestId,
        result: Result<OperationReply, Rejection>,
    ) {
        self.answer(sender, PeerMessage::Reply(Reply { id, result }));
    }

    /// Collects a command.
    pub(crate) fn propose(&mut self, command: Command, waiting: Waiting) {
        self.proposals.push(Proposal { command, waiting });
    }

    /// Turns the runs to close into one command.
    pub(crate) fn propose_closes(&mut self, now: Now) {
        if self.closes.is_empty() {
            return;
        }
        let runs = std::mem::take(&mut self.closes);
        let at = now.wall;
        self.propose(Command::CloseRuns { runs, at }, Waiting::Nobody);
    }

    /// The lease lapsed: what was collected must not leave, and starts that
    /// were not sent never will be. Requests whose entries are in the log wait
    /// on: the lease may hold again, and else they are answered as leadership
    /// is lost.
    pub(crate) fn suspend(&mut self) {
        self.serving = false;
        self.to_start.clear();
        for proposal in std::mem::take(&mut self.proposals) {
            self.reject_unproposed(proposal.waiting);
        }
        self.keep_replies();
        self.orders.clear();
        self.recorded.clear();
        for close in std::mem::take(&mut self.closes) {
            self.runs.close_failed(close.run);
        }
    }

    /// What was asked for never came into the log.
    pub(crate) fn reject_unproposed(&mut self, waiting: Waiting) {
        if let Waiting::Request(key) = waiting
            && let Some(request) = self.requests.take(key)
        {
            self.reply(&request.sender, request.id, Err(rejection_unavailable()));
        }
    }

    /// Drops what only a leader under its lease may say. Answers to requests
    /// stay true and leave when the lease holds again.
    pub(crate) fn keep_replies(&mut self) {
        self.messages.retain(|(_, message)| is_reply(message));
    }

    /// The lease holds at this moment.
    pub(crate) fn record_served(&mut self, now: Monotonic) {
        self.served_at = now;
    }

    /// The lease holds again within the term. Nothing was taken from runners
    /// meanwhile, so clocks of silence stood still; if they began anew, a leader
    /// whose lease lapses now and then would never give a lost run up.
    pub(crate) fn resume(&mut self, now: Monotonic) {
        let gap = now.since(self.served_at);
        self.serving = true;
        self.served_at = now;
        self.failure_detection_start = self.failure_detection_start + gap;
        self.runners.shift_last_seen(gap, now);
        self.placement_due = true;
    }

    /// Lets out the lines of the decision log since the last call.
    pub(crate) fn emit_decisions(&mut self, effects: &mut Vec<Effect>) {
        for entry in self.decisions.take_new() {
            effects.push(Effect::Decision(Box::new(entry)));
        }
    }
}

fn is_reply(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::Reply(_) => true,
        PeerMessage::Relay(relay) => matches!(*relay.body, PeerMessage::Reply(_)),
        _ => false,
    }
}

/// Enters configuration, open runs and operators' words into a new view.
fn adopt(state_machine: &StateMachine, scheduler: &mut Scheduler, now: Monotonic) -> Runs {
    scheduler.configure(state_machine.configuration().1);
    let mut runs = Runs::default();
    for run in state_machine.open_runs() {
        scheduler.adopt_run(run.clone());
        runs.adopt(run, now);
    }
    for runner in state_machine.draining_runners() {
        scheduler.set_draining(&runner, true);
    }
    runs
}
