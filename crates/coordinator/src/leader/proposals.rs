//! Commands that the leader proposes, and the origin of each.
//!
//! To close a run is to record its end in the replicated log; see [`ClosedRun`].

use crate::leader::request_table::RequestKey;
use state_machine::{ClosedRun, Command};
use std::collections::BTreeMap;
use types::{LogIndex, Now, Reservation};

/// Origin of a proposal, which determines how its reply is handled.
#[derive(Debug, Clone)]
pub(crate) enum ProposalOrigin {
    /// Request that waits for the answer.
    Request(RequestKey),
    /// Placement by the scheduler, with its reservations.
    Placement(Vec<Reservation>),
    /// Work of the leader itself. The reply is ignored; the changes of the state
    /// machine are handled as for any entry.
    Internal,
}

/// Command to propose, and its origin.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(super) command: Command,
    pub(super) origin: ProposalOrigin,
}

impl Proposal {
    /// Returns the command to encode into the log entry.
    pub(crate) fn command(&self) -> &Command {
        &self.command
    }
}

/// Commands to propose, and the origins of proposed commands that are not
/// applied yet.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    collected: Vec<Proposal>,
    closes: Vec<ClosedRun>,
    in_log: BTreeMap<LogIndex, ProposalOrigin>,
}

impl Proposals {
    /// Adds a command to propose at the end of the input.
    pub(super) fn add(&mut self, command: Command, origin: ProposalOrigin) {
        self.collected.push(Proposal { command, origin });
    }

    /// Adds a run to close. All runs added before the next [`Self::pack_closes`]
    /// share one command.
    pub(super) fn add_close(&mut self, close: ClosedRun) {
        self.closes.push(close);
    }

    /// Adds one command that closes the collected runs, if there are any.
    pub(super) fn pack_closes(&mut self, now: Now) {
        if self.closes.is_empty() {
            return;
        }
        let runs = std::mem::take(&mut self.closes);
        let at = now.wall;
        self.add(Command::CloseRuns { runs, at }, ProposalOrigin::Internal);
    }

    /// Returns the collected commands and clears them.
    pub(super) fn take(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.collected)
    }

    /// Returns the runs to close that are not yet in a proposed command, and
    /// clears them.
    pub(super) fn take_closes(&mut self) -> Vec<ClosedRun> {
        std::mem::take(&mut self.closes)
    }

    /// Records the log index of a proposed command.
    pub(super) fn record_index(&mut self, index: LogIndex, origin: ProposalOrigin) {
        self.in_log.insert(index, origin);
    }

    /// Removes an applied entry. Returns its origin, or `None` if this leader
    /// proposed no entry at this index.
    pub(super) fn remove(&mut self, index: LogIndex) -> Option<ProposalOrigin> {
        self.in_log.remove(&index)
    }
}
