//! Requests that wait for the leader: bounded places, deadlines, resends.

use crate::core::{Caller, TicketId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use transport::{Operation, RequestId};
use types::{Milliseconds, Monotonic, TenantId};

/// One tenant may take this part of all places.
const TENANT_PART: usize = 4;
/// This part of all places is kept for operators.
const OPERATOR_PART: usize = 8;
/// The wait before a resend doubles up to this many times.
const MAX_RESEND_DOUBLINGS: u32 = 3;

/// Whose places a request takes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOwner {
    /// About one tenant's jobs.
    Tenant(TenantId),
    /// About the cluster, or several tenants.
    Operators,
}

/// Why no place was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// The party has its part of the places.
    OwnerFull,
    /// All places are taken.
    AllFull,
}

/// A request as the shell handed it in.
#[derive(Debug)]
pub struct Asked {
    /// The shell's number of it.
    pub ticket: TicketId,
    /// Who asks.
    pub caller: Caller,
    /// What is asked.
    pub operation: Operation,
}

/// A request that waits for the leader's answer.
#[derive(Debug)]
pub struct Waiting {
    /// The request.
    pub asked: Asked,
    /// When the caller stops waiting.
    pub deadline: Monotonic,
    /// Where it was sent last; none while it has not left.
    pub sent_to: Option<SocketAddr>,
    /// Times it was sent.
    pub attempts: u32,
    owner: RequestOwner,
    doublings: u32,
    due: Monotonic,
}

/// The requests that wait, by number and by what is due next.
#[derive(Debug)]
pub struct WaitingTable {
    capacity: usize,
    resend_after: Milliseconds,
    requests: BTreeMap<RequestId, Waiting>,
    tickets: BTreeMap<TicketId, RequestId>,
    schedule: BTreeSet<(Monotonic, RequestId)>,
    used: BTreeMap<RequestOwner, usize>,
}

impl WaitingTable {
    /// An empty table with this many places.
    pub fn new(capacity: usize, resend_after: Milliseconds) -> Self {
        Self {
            capacity: capacity.max(1),
            resend_after: Milliseconds(resend_after.0.max(1)),
            requests: BTreeMap::new(),
            tickets: BTreeMap::new(),
            schedule: BTreeSet::new(),
            used: BTreeMap::new(),
        }
    }

    /// Whether this party may take one more place.
    pub fn check_capacity(&self, owner: &RequestOwner) -> Result<(), AdmissionError> {
        if self.requests.len() >= self.capacity {
            return Err(AdmissionError::AllFull);
        }
        if *owner == RequestOwner::Operators {
            return Ok(());
        }
        let own = self.used.get(owner).copied().unwrap_or(0);
        if own >= (self.capacity / TENANT_PART).max(1) {
            return Err(AdmissionError::OwnerFull);
        }
        let operators = self
            .used
            .get(&RequestOwner::Operators)
            .copied()
            .unwrap_or(0);
        let tenants = self.requests.len() - operators;
        if tenants >= self.capacity - self.capacity / OPERATOR_PART {
            return Err(AdmissionError::AllFull);
        }
        Ok(())
    }

    /// Takes a place; the request is due at once.
    pub fn insert(
        &mut self,
        id: RequestId,
        owner: RequestOwner,
        asked: Asked,
        now: Monotonic,
        deadline: Monotonic,
    ) {
        *self.used.entry(owner.clone()).or_default() += 1;
        self.tickets.insert(asked.ticket, id);
        self.schedule.insert((now, id));
        let waiting = Waiting {
            asked,
            deadline,
            sent_to: None,
            attempts: 0,
            owner,
            doublings: 0,
            due: now,
        };
        self.requests.insert(id, waiting);
    }

    /// A request that waits.
    pub fn get(&self, id: RequestId) -> Option<&Waiting> {
        self.requests.get(&id)
    }

    /// Gives a place back.
    pub fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let waiting = self.requests.remove(&id)?;
        self.tickets.remove(&waiting.asked.ticket);
        self.schedule.remove(&(waiting.due, id));
        if let Some(count) = self.used.get_mut(&waiting.owner) {
            *count -= 1;
            if *count == 0 {
                self.used.remove(&waiting.owner);
            }
        }
        Some(waiting)
    }

    /// Gives back the place of a request whose caller went away.
    pub fn remove_ticket(&mut self, ticket: TicketId) -> Option<Waiting> {
        let id = self.tickets.get(&ticket).copied()?;
        self.remove(id)
    }

    /// Records a sending, or an attempt while no leader was known. The waits
    /// between sendings grow, so that a slow leader is not asked ever more.
    pub fn sent(&mut self, id: RequestId, to: Option<SocketAddr>, now: Monotonic) {
        let Some(waiting) = self.requests.get_mut(&id) else {
            return;
        };
        let wait = Milliseconds(self.resend_after.0 << waiting.doublings);
        if to.is_some() {
            waiting.attempts += 1;
            waiting.doublings = (waiting.doublings + 1).min(MAX_RESEND_DOUBLINGS);
        }
        waiting.sent_to = to.or(waiting.sent_to);
        let due = (now + wait).min(waiting.deadline);
        self.plan(id, due);
    }

    /// Makes a request due at once, with short waits again.
    pub fn hurry(&mut self, id: RequestId, now: Monotonic) {
        if let Some(waiting) = self.requests.get_mut(&id) {
            waiting.doublings = 0;
            self.plan(id, now);
        }
    }

    /// Numbers of those whose callers stopped waiting. A request is due no
    /// later than its deadline, so only what is due needs a look.
    pub fn timed_out(&self, now: Monotonic) -> Vec<RequestId> {
        let due = self.schedule.iter().take_while(|(due, _)| *due <= now);
        due.filter(|(_, id)| {
            let waiting = self.requests.get(id);
            waiting.is_some_and(|waiting| waiting.deadline <= now)
        })
        .map(|(_, id)| *id)
        .collect()
    }

    /// Takes the next request that is due off the schedule.
    pub fn pop_due(&mut self, now: Monotonic) -> Option<RequestId> {
        let (due, _) = self.schedule.first()?;
        if *due > now {
            return None;
        }
        self.schedule.pop_first().map(|(_, id)| id)
    }

    /// When the next request is due.
    pub fn next_due(&self) -> Option<Monotonic> {
        self.schedule.first().map(|(due, _)| *due)
    }

    /// Numbers of all that wait.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Numbers of those last sent to this socket.
    pub fn sent_to(&self, socket: SocketAddr) -> Vec<RequestId> {
        let sent = |(id, waiting): (&RequestId, &Waiting)| {
            (waiting.sent_to == Some(socket)).then_some(*id)
        };
        self.requests.iter().filter_map(sent).collect()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn plan(&mut self, id: RequestId, due: Monotonic) {
        if let Some(waiting) = self.requests.get_mut(&id) {
            self.schedule.remove(&(waiting.due, id));
            waiting.due = due;
            self.schedule.insert((due, id));
        }
    }
}
