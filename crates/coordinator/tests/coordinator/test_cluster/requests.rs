//! What gateways ask of the cluster, and what can be read from it.

use super::agent::ScriptedAgent;
use super::{GATEWAY_PORT, TestCluster, address, jobs, socket};
use coordinator::Input;
use std::collections::BTreeSet;
use transport::{Envelope, Operation, OperationReply, PeerMessage, Rejection, Request, RequestId};
use types::{Address, Milliseconds, Role};

impl TestCluster {
    /// Hands the leader a message at once.
    pub fn tell_leader(&mut self, from: Address, body: PeerMessage) {
        let leader = self.leader().expect("no leader to tell");
        let envelope = Envelope {
            from,
            via: None,
            body,
        };
        self.input(leader, Input::Peer(envelope));
    }

    /// Sends a request to the leader; gives its number.
    pub fn ask(&mut self, operation: Operation) -> u64 {
        let leader = self.leader().expect("no leader to ask");
        self.next_request += 1;
        let to = socket(self.servers[leader].port);
        let request = numbered_request(self.next_request, operation);
        self.post(GATEWAY_PORT, gateway(), to, request);
        self.next_request
    }

    /// Sends the newest request once more, through a follower.
    pub fn ask_again_through(&mut self, follower: usize, operation: Operation) {
        let leader = self.leader().expect("no leader to ask");
        let relay = PeerMessage::Relay(transport::Relay {
            origin: gateway(),
            destination: socket(self.servers[leader].port),
            body: Box::new(numbered_request(self.next_request, operation)),
        });
        let by = socket(self.servers[follower].port);
        self.post(GATEWAY_PORT, gateway(), by, relay);
    }

    /// Hands the leader a request that has waited too long for it.
    pub fn tell_overdue(&mut self, operation: Operation) -> u64 {
        self.next_request += 1;
        self.tell_overdue_again(operation)
    }

    /// The same under the number of the newest request.
    pub fn tell_overdue_again(&mut self, operation: Operation) -> u64 {
        let leader = self.leader().expect("no leader to ask");
        let envelope = Envelope {
            from: gateway(),
            via: None,
            body: numbered_request(self.next_request, operation),
        };
        self.input(leader, Input::Overdue(envelope));
        self.next_request
    }

    /// What the leader does at once when requests are there together.
    pub fn effects_of_all(&mut self, operations: Vec<Operation>) -> Vec<coordinator::Effect> {
        let leader = self.leader().expect("no leader to ask");
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
        core.expect("it leads")
            .handle_all(now, inputs, &mut effects);
        effects
    }

    pub fn put_configuration(
        &mut self,
        version: u64,
        document: configuration::ClusterConfiguration,
    ) -> u64 {
        let version = types::ConfigurationVersion(version);
        self.ask(Operation::PutConfiguration { version, document })
    }

    /// Asks and gives the answer.
    pub fn answer(&mut self, operation: Operation) -> Result<OperationReply, Rejection> {
        let id = self.ask(operation);
        self.run_until(2_000, "an answer", |cluster| {
            cluster.replies.contains_key(&id)
        });
        self.replies[&id].clone()
    }

    /// Submits a job of one task and waits for the acknowledgement.
    pub fn submit(&mut self, job: &str) {
        let answer = self.answer(Operation::Submit(jobs::job(job)));
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

    /// Adds an agent with one runner and lets it be heard.
    pub fn add_agent(&mut self, number: u16) {
        self.agents.push(ScriptedAgent::new(number, self.now));
        self.run(1_000);
    }

    /// All orders that coordinators sent, in order.
    pub fn orders(&self) -> Vec<types::RunnerOrder> {
        let sent = self.sent.iter();
        sent.filter_map(|(_, message)| match message {
            PeerMessage::Orders { orders, .. } => Some(orders.clone()),
            _ => None,
        })
        .flatten()
        .collect()
    }

    /// Start orders sent so far.
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

    /// Returns whether no run identifier was sent in two starts.
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
