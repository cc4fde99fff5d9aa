//! Commands on their way into the log, and what each was proposed for.

use crate::leader::request_table::RequestKey;
use state_machine::{ClosedRun, Command};
use std::collections::BTreeMap;
use types::{LogIndex, Now, Reservation};

/// What an entry was proposed for.
#[derive(Debug, Clone)]
pub(crate) enum ProposalOrigin {
    /// A request, which waits for the answer.
    Request(RequestKey),
    /// These choices of the scheduler.
    Placement(Vec<Reservation>),
    /// The leader itself; the changes of the state machine suffice.
    Internal,
}

/// A command to propose.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(super) command: Command,
    pub(super) origin: ProposalOrigin,
}

impl Proposal {
    /// The command to encode into the log.
    pub(crate) fn command(&self) -> &Command {
        &self.command
    }
}

/// Commands collected for the log, and those of this leader that are in it.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    collected: Vec<Proposal>,
    closes: Vec<ClosedRun>,
    in_log: BTreeMap<LogIndex, ProposalOrigin>,
}

impl Proposals {
    /// Collects a command.
    pub(super) fn add(&mut self, command: Command, origin: ProposalOrigin) {
        self.collected.push(Proposal { command, origin });
    }

    /// Collects a run to close. All of them share one command.
    pub(super) fn add_close(&mut self, close: ClosedRun) {
        self.closes.push(close);
    }

    /// Turns the runs to close into one command.
    pub(super) fn pack_closes(&mut self, now: Now) {
        if self.closes.is_empty() {
            return;
        }
        let runs = std::mem::take(&mut self.closes);
        let at = now.wall;
        self.add(Command::CloseRuns { runs, at }, ProposalOrigin::Internal);
    }

    /// Takes the collected commands.
    pub(super) fn take(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.collected)
    }

    /// Takes the runs to close that are not packed into a command.
    pub(super) fn take_closes(&mut self) -> Vec<ClosedRun> {
        std::mem::take(&mut self.closes)
    }

    /// Records the index of a command that is in the log.
    pub(super) fn record_index(&mut self, index: LogIndex, origin: ProposalOrigin) {
        self.in_log.insert(index, origin);
    }

    /// Removes an applied entry; returns what it was proposed for if this
    /// leader proposed an entry at its index.
    pub(super) fn remove(&mut self, index: LogIndex) -> Option<ProposalOrigin> {
        self.in_log.remove(&index)
    }
}
