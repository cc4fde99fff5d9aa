//! Keep-alives of other processes, answered with a session lease and, if the
//! sender has an older version, the configuration.

use crate::leader::Leader;
use crate::sender::Sender;
use state_machine::StateMachine;
use transport::{KeepAlive, PeerMessage, SessionLease};
use types::{Address, Now, Role};

impl Leader {
    /// Handles a keep-alive. `coordinators` are the live coordinators, which the
    /// lease lists.
    pub(crate) fn receive_keep_alive(
        &mut self,
        state_machine: &StateMachine,
        sender: &Sender,
        keep_alive: &KeepAlive,
        coordinators: Vec<Address>,
        now: Now,
    ) {
        let address = &sender.address;
        if keep_alive.leaving {
            self.sessions.close(address.node);
            return;
        }
        let is_coordinator = address.role == Role::Coordinator;
        if !is_coordinator {
            self.sessions
                .renew(sender, keep_alive.configuration, now.monotonic);
        }
        let (version, document) = state_machine.configuration();
        let lease = SessionLease {
            term: self.identity.term,
            leader: self.identity.own.clone(),
            cluster: self.identity.cluster,
            sequence: keep_alive.sequence,
            lease: self.options.session_lease,
            configuration: version,
            coordinators,
            others: self.sessions.addresses_for(address, keep_alive.sequence),
        };
        self.outbox.answer(sender, PeerMessage::Lease(lease));
        if keep_alive.configuration < version && !is_coordinator {
            let document = document.clone();
            self.outbox
                .answer(sender, PeerMessage::Configuration { version, document });
        }
    }
}
