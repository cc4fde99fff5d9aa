//! Leader of one term: the state that only a leader keeps in memory, and the
//! components that manage it.
//!
//! A leader is created when the lease of its term first holds, and dropped when
//! the process loses leadership. If the lease expires within the term, no other
//! leader can have been elected, so the state is kept and updated: a new one
//! would assign the run identifiers of this term a second time. The leader does
//! not act until the lease holds again.
//!
//! These modules neither send messages nor propose commands. They collect both,
//! and at the end of an input the core sends and proposes what the lease allows.
//!
//! Components that keep state: [`sessions`], [`runner_registry`],
//! [`run_tracker`], [`request_table`], [`proposals`], [`outbox`],
//! [`placement`], [`audit`], [`rebuild`], [`lease_state`], [`decision_log`],
//! [`error_budgets`], [`submit_admission`] and [`membership`]. The other
//! modules use these components, each for one kind of input or work:
//! [`keep_alives`], [`heartbeats`], [`orders`], [`run_checks`], [`run_closes`],
//! [`requests`], [`reads`] and [`applied_entries`].

mod applied_entries;
mod audit;
mod decision_log;
mod error_budgets;
mod heartbeats;
mod keep_alives;
mod lease_state;
mod membership;
mod orders;
mod outbox;
mod periodic_timer;
mod placement;
mod progress_history;
mod proposals;
mod reads;
mod rebuild;
mod rejections;
mod request_table;
mod requests;
mod run_checks;
mod run_closes;
mod run_tracker;
mod runner_registry;
mod sessions;
mod stall_detection;
mod submit_admission;

pub(crate) use proposals::Proposal;

use crate::effect::Effect;
use crate::leader::audit::AuditState;
use crate::leader::decision_log::DecisionLog;
use crate::leader::error_budgets::ErrorBudgets;
use crate::leader::lease_state::LeaseState;
use crate::leader::membership::{Joiners, MemberVersions, MembershipPlanner};
use crate::leader::outbox::Outbox;
use crate::leader::periodic_timer::PeriodicTimer;
use crate::leader::placement::PlacementState;
use crate::leader::proposals::Proposals;
use crate::leader::rebuild::RebuildCursor;
use crate::leader::rejections::uncertain;
use crate::leader::request_table::RequestTable;
use crate::leader::run_tracker::RunTracker;
use crate::leader::runner_registry::RunnerRegistry;
use crate::leader::sessions::Sessions;
use crate::leader::submit_admission::SubmitAdmission;
use crate::options::{CoordinatorOptions, Mutation};
use crate::sender::{AddressedMessage, Sender};
use configuration::Timings;
use consensus::{Membership, Status};
use scheduler::Scheduler;
use state_machine::StateMachine;
use transport::{MemberView, PeerMessage};
use types::{Address, ClusterId, ConfigurationVersion, Milliseconds, Monotonic, NodeId, Now, Term};

/// Time between two checks of runs, sessions and pending requests.
const CHECK_INTERVAL: Milliseconds = Milliseconds(100);
/// Time between two checks of the membership.
const MEMBERSHIP_INTERVAL: Milliseconds = Milliseconds(100);
/// Time between two reports of the gauges.
const GAUGE_INTERVAL: Milliseconds = Milliseconds(1_000);

/// Address, cluster and term of a leader.
#[derive(Debug, Clone)]
pub(crate) struct LeaderIdentity {
    pub(crate) own: Address,
    pub(crate) cluster: ClusterId,
    pub(crate) term: Term,
}

/// Timers of the leader's periodic work.
#[derive(Debug)]
struct Timers {
    checks: PeriodicTimer,
    membership: PeriodicTimer,
    gauges: PeriodicTimer,
}

/// The leader of one term.
pub(crate) struct Leader {
    identity: LeaderIdentity,
    options: CoordinatorOptions,
    lease: LeaseState,
    /// Timings of the configuration in force.
    timings: Timings,
    scheduler: Scheduler,
    rebuild: RebuildCursor,
    sessions: Sessions,
    runners: RunnerRegistry,
    runs: RunTracker,
    requests: RequestTable,
    proposals: Proposals,
    placement: PlacementState,
    admission: SubmitAdmission,
    budgets: ErrorBudgets,
    decisions: DecisionLog,
    joiners: Joiners,
    member_versions: MemberVersions,
    audit: AuditState,
    outbox: Outbox,
    timers: Timers,
}

impl Leader {
    /// Creates a leader whose lease holds from `now` on. Open runs are added
    /// immediately, so that resource limits count them; ready tasks are added
    /// later by [`Self::rebuild_slice`]. `scheduler` must be empty.
    pub(crate) fn new(
        options: CoordinatorOptions,
        identity: LeaderIdentity,
        state_machine: &StateMachine,
        mut scheduler: Scheduler,
        now: Now,
    ) -> Self {
        let start = now.monotonic;
        let runs = adopt_runs(state_machine, &mut scheduler, start);
        Self {
            lease: LeaseState::new(start),
            timings: state_machine.configuration().1.timings.clone(),
            scheduler,
            rebuild: RebuildCursor::default(),
            sessions: Sessions::new(options.session_lease),
            runners: RunnerRegistry::default(),
            runs,
            requests: RequestTable::default(),
            proposals: Proposals::default(),
            placement: PlacementState::new(start),
            admission: SubmitAdmission::default(),
            budgets: ErrorBudgets::default(),
            decisions: DecisionLog::new(identity.term, options.decision_log_capacity),
            joiners: Joiners::default(),
            member_versions: MemberVersions::default(),
            audit: AuditState::new(start),
            outbox: Outbox::new(identity.own.clone(), identity.term),
            timers: Timers {
                checks: PeriodicTimer::new(CHECK_INTERVAL, start),
                membership: PeriodicTimer::new(MEMBERSHIP_INTERVAL, start),
                gauges: PeriodicTimer::new(GAUGE_INTERVAL, start),
            },
            identity,
            options,
        }
    }

    /// Returns the term of this leader.
    pub(crate) fn term(&self) -> Term {
        self.identity.term
    }

    /// Returns whether the lease held when it was last checked.
    pub(crate) fn is_serving(&self) -> bool {
        self.lease.is_serving()
    }

    /// Returns the number of tasks and runners that the scheduler has examined
    /// in this term.
    pub(crate) fn scan_cost(&self) -> u64 {
        self.scheduler.scan_cost()
    }

    /// Returns when the leader has work that must not wait for the next tick, or
    /// `None` if there is no such work.
    pub(crate) fn next_wakeup(&self, last_input: Now) -> Option<Monotonic> {
        if !self.lease.is_serving() {
            return None;
        }
        if !self.rebuild.is_done() {
            return Some(last_input.monotonic);
        }
        if !self.may_place(last_input.monotonic) || self.placement.has_in_flight() {
            return None;
        }
        if self.placement.is_requested() {
            return Some(self.placement.not_before());
        }
        let start = self.scheduler.next_start_time()?;
        let wait = Milliseconds(start.0.saturating_sub(last_input.wall.0));
        Some((last_input.monotonic + wait).max(self.placement.not_before()))
    }

    /// Runs the periodic work that is due at `now`.
    pub(crate) fn run_periodic_work(&mut self, state_machine: &StateMachine, now: Now) {
        self.rebuild_slice(state_machine, now);
        if self.timers.checks.fire(now.monotonic) {
            self.placement.request();
            self.requests.expire(now.monotonic);
            self.sessions.expire(now.monotonic);
            self.check_runs(state_machine, now);
            self.release_delayed_runs(state_machine, now);
        }
        self.audit_when_due(state_machine, now);
        self.forget_jobs_when_due(state_machine, now);
        if self.timers.gauges.fire(now.monotonic) {
            self.report_gauges(state_machine);
        }
    }

    /// Returns the next membership to propose, or `None` if no change is needed.
    pub(crate) fn next_membership(&mut self, status: &Status, now: Now) -> Option<Membership> {
        self.joiners.expire(now.monotonic);
        let planner = MembershipPlanner {
            own: self.identity.own.node,
            wanted_voters: self.options.initial_coordinators as usize,
            replace_voter_after: self.options.replace_voter_after,
            status,
            joiners: &self.joiners,
        };
        planner.next()
    }

    /// Returns whether a check of the membership is due, and if so schedules the
    /// next check.
    pub(crate) fn is_membership_check_due(&mut self, now: Now) -> bool {
        self.timers.membership.fire(now.monotonic)
    }

    /// Records a coordinator that requests admission to the membership.
    pub(crate) fn record_joiner(&mut self, address: &Address, now: Now) {
        self.joiners.record(address, now.monotonic);
    }

    /// Records the configuration version that a member reports as applied.
    pub(crate) fn record_member_version(
        &mut self,
        node: NodeId,
        version: ConfigurationVersion,
        membership: &Membership,
    ) {
        self.member_versions.record(node, version, membership);
    }

    /// Returns the configuration version that a member last reported as applied,
    /// or `None` if it has sent no report.
    pub(crate) fn member_version(&self, node: NodeId) -> Option<ConfigurationVersion> {
        self.member_versions.get(node)
    }

    /// Returns the sessions as entries of the list of members.
    pub(crate) fn session_views(&self, now: Now) -> impl Iterator<Item = MemberView> {
        self.sessions.views(now.monotonic)
    }

    /// Collects an answer to a sender.
    pub(crate) fn answer(&mut self, sender: &Sender, message: PeerMessage) {
        self.outbox.answer(sender, message);
    }

    /// Places tasks, and returns the collected commands in the order in which
    /// they must be proposed.
    pub(crate) fn take_proposals(
        &mut self,
        state_machine: &StateMachine,
        now: Now,
    ) -> Vec<Proposal> {
        // Closes are proposed before reservations: the late end of a finished
        // task must be in the log before the task can be reserved again.
        self.proposals.pack_closes(now);
        self.place(state_machine, now);
        self.proposals.take()
    }

    /// Returns the collected messages and clears them. They may be sent only
    /// while the lease holds.
    pub(crate) fn take_messages(&mut self) -> Vec<AddressedMessage> {
        self.outbox.take_messages()
    }

    /// Packs the orders collected for each agent, and the recorded ends of each
    /// runner, into messages.
    pub(crate) fn pack_messages(&mut self) {
        self.outbox.pack_orders();
        self.confirm_recorded_ends();
    }

    /// Discards all collected messages except replies to requests. Only a leader
    /// with a valid lease may send the others.
    pub(crate) fn retain_replies(&mut self) {
        self.outbox.retain_replies();
    }

    /// Emits the entries added to the decision log since the last call.
    pub(crate) fn emit_decisions(&mut self, effects: &mut Vec<Effect>) {
        for entry in self.decisions.take_unemitted() {
            effects.push(Effect::Decision(Box::new(entry)));
        }
    }

    /// Answers every pending request that its outcome is uncertain, because
    /// leadership is lost.
    pub(crate) fn reject_pending_requests(&mut self) -> Vec<AddressedMessage> {
        let mut answers = Outbox::new(self.identity.own.clone(), self.identity.term);
        for request in self.requests.take_all() {
            answers.reply(&request.sender, request.id, Err(uncertain()));
        }
        answers.take_messages()
    }

    /// Suspends the leader because its lease expired. Discards the collected
    /// messages and commands, except replies to requests, and the starts that are
    /// not sent yet, which are never sent later. Requests whose entries are in
    /// the log stay pending: the lease may hold again, and if leadership is lost
    /// instead, [`Self::reject_pending_requests`] answers them.
    pub(crate) fn suspend(&mut self) {
        self.lease.suspend();
        self.runs.discard_starts();
        for proposal in self.proposals.take() {
            self.reject_unproposed(&proposal.origin);
        }
        self.outbox.retain_replies();
        self.outbox.discard_orders();
        self.runners.take_recorded_ends();
        for close in self.proposals.take_closes() {
            self.runs.cancel_close(close.run);
        }
    }

    /// Records that the lease holds at `now`.
    pub(crate) fn record_lease_held(&mut self, now: Monotonic) {
        self.lease.record_held(now);
    }

    /// Resumes the leader when the lease holds again within the term.
    pub(crate) fn resume(&mut self, now: Monotonic) {
        let gap = self.lease.resume(now);
        self.runners.shift_last_seen(gap, now);
        self.placement.request();
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.options.mutation == Some(mutation)
    }

    fn report_gauges(&self, state_machine: &StateMachine) {
        metrics::gauge!("cypressdrum_unfinished_jobs").set(state_machine.unfinished_jobs() as f64);
        metrics::gauge!("cypressdrum_open_runs").set(self.runs.len() as f64);
        metrics::gauge!("cypressdrum_runs_to_stop").set(self.runs.stop_requested_count() as f64);
        metrics::gauge!("cypressdrum_sessions").set(self.sessions.len() as f64);
        metrics::gauge!("cypressdrum_runners").set(self.runners.len() as f64);
        metrics::gauge!("cypressdrum_waiting_requests").set(self.requests.len() as f64);
    }
}

/// Adds the configuration, the open runs and the draining runners to a new
/// scheduler, and returns a tracker of the runs. Stops that an earlier leader
/// requested because a run is obsolete are requested again.
fn adopt_runs(
    state_machine: &StateMachine,
    scheduler: &mut Scheduler,
    now: Monotonic,
) -> RunTracker {
    scheduler.configure(state_machine.configuration().1);
    let mut runs = RunTracker::default();
    for open_run in state_machine.open_runs() {
        let run = open_run.run;
        let is_lasting = state_machine.is_endless(open_run.task);
        scheduler.adopt_run(open_run.clone(), is_lasting);
        runs.adopt(open_run, now);
        if state_machine.is_obsolete(run) {
            runs.request_stop(run);
        }
    }
    for runner in state_machine.draining_runners() {
        scheduler.set_draining(&runner, true);
    }
    runs
}
