//! Requests of a gateway to the test cluster, and queries of its state.

use super::agent::ScriptedAgent;
use super::{GATEWAY_PORT, TestCluster, address, jobs, socket};
use coordinator::Input;
use std::collections::BTreeSet;
use transport::{Envelope, Operation, OperationReply, PeerMessage, Rejection, Request, RequestId};
use types::{Address, Milliseconds, Role};

impl TestCluster {
    /// Delivers a message to the leader without network delay.
    pub fn deliver_to_leader(&mut self, from: Address, body: PeerMessage) {
        let leader = self.leader().expect("no leader to send to");
        let envelope = Envelope {
            from,
            via: None,
            body,
        };
        self.input(leader, Input::Peer(envelope));
    }

    /// Sends a request to the leader and returns its number.
    pub fn send_request(&mut self, operation: Operation) -> u64 {
        let leader = self.leader().expect("no leader to send to");
        self.next_request += 1;
        let to = socket(self.servers[leader].port);
        let request = numbered_request(self.next_request, operation);
        self.send(GATEWAY_PORT, gateway(), to, request);
        self.next_request
    }

    /// Resends the newest request, relayed by a follower.
    pub fn resend_through(&mut self, follower: usize, operation: Operation) {
        let leader = self.leader().expect("no leader to send to");
        let relay = PeerMessage::Relay(transport::Relay {
            origin: gateway(),
            destination: socket(self.servers[leader].port),
            body: Box::new(numbered_request(self.next_request, operation)),
        });
        let relayed_by = socket(self.servers[follower].port);
        self.send(GATEWAY_PORT, gateway(), relayed_by, relay);
    }

    /// Delivers a request to the leader as overdue and returns its number.
    pub fn send_overdue(&mut self, operation: Operation) -> u64 {
        self.next_request += 1;
        self.resend_overdue(operation)
    }

    /// Delivers a request as overdue under the number of the newest request.
    pub fn resend_overdue(&mut self, operation: Operation) -> u64 {
        let leader = self.leader().expect("no leader to send to");
        let envelope = Envelope {
            from: gateway(),
            via: None,
            body: numbered_request(self.next_request, operation),
        };
        self.input(leader, Input::Overdue(envelope));
        self.next_request
    }

    /// Passes requests to the leader in one step and returns its effects, which are
    /// not carried out.
    pub fn effects_of_all(&mut self, operations: Vec<Operation>) -> Vec<coordinator::Effect> {
        let leader = self.leader().expect("no leader to send to");
        let mut inputs = Vec::new();
        for operation in operations {
            self.next_request += 1;
            inputs.push(Input::Peer(Envelope {
                from: gateway(),
                via: None,
                body: numbered_request(self.next_request, operation),
            }));
        }
        let now = self.clock();
        let mut effects = Vec::new();
        let core = self.servers[leader].core.as_mut();
        core.expect("the leader is running")
            .handle_all(now, inputs, &mut effects);
        effects
    }

    pub fn put_configuration(
        &mut self,
        version: u64,
        document: configuration::ClusterConfiguration,
    ) -> u64 {
        let version = types::ConfigurationVersion(version);
        self.send_request(Operation::PutConfiguration { version, document })
    }

    /// Sends a request to the leader and waits for the reply.
    pub fn request(&mut self, operation: Operation) -> Result<OperationReply, Rejection> {
        let id = self.send_request(operation);
        self.run_until(2_000, "a reply", |cluster| {
            cluster.replies.contains_key(&id)
        });
        self.replies[&id].clone()
    }

    /// Submits a job of one task and waits for the acknowledgement.
    pub fn submit(&mut self, job: &str) {
        let answer = self.request(Operation::Submit(jobs::job(job)));
        assert!(
            matches!(answer, Ok(OperationReply::Submitted { .. })),
            "{answer:?}"
        );
    }

    pub fn job(&self, job: &str) -> types::JobView {
        self.state_machine()
            .job(&jobs::key(job))
            .expect("unknown job")
    }

    /// Adds an agent with one runner and runs for a second, in which the leader gets
    /// its first heartbeats.
    pub fn add_agent(&mut self, number: u16) {
        self.agents.push(ScriptedAgent::new(number, self.now));
        self.run(1_000);
    }

    /// Returns all orders sent by coordinators, oldest first.
    pub fn orders(&self) -> Vec<types::RunnerOrder> {
        let sent = self.sent.iter();
        sent.filter_map(|(_, message)| match message {
            PeerMessage::Orders { orders, .. } => Some(orders.clone()),
            _ => None,
        })
        .flatten()
        .collect()
    }

    /// Returns the runs of all start orders sent so far.
    pub fn starts(&self) -> Vec<types::RunId> {
        let starts = self
            .orders()
            .into_iter()
            .filter_map(|order| match order.kind {
                types::OrderKind::Start { run, .. } => Some(run.run),
                _ => None,
            });
        starts.collect()
    }

    /// Returns whether no run was sent in two start orders.
    pub fn each_start_is_sent_once(&self) -> bool {
        let starts = self.starts();
        let distinct: BTreeSet<_> = starts.iter().collect();
        distinct.len() == starts.len()
    }
}

fn gateway() -> Address {
    address(900, Role::Gateway, GATEWAY_PORT)
}

fn numbered_request(number: u64, operation: Operation) -> PeerMessage {
    PeerMessage::Request(Request {
        id: RequestId(number),
        time_left: Milliseconds(10_000),
        operation,
    })
}
