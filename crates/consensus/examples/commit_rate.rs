//! Measures how many commands per second a group of three nodes proposes,
//! replicates and commits on one core, without disks and network.
//!
//! The arguments are the number of commands, and the number that is proposed
//! before messages are delivered:
//!
//! ```text
//! cargo run --release -p consensus --example commit_rate -- 200000 10
//! ```

use consensus::{Membership, Node, Options, Outgoing, Recovered};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;
use types::{Monotonic, NodeId};

/// Size of a command, in bytes. About the size of a reservation.
const COMMAND_BYTES: usize = 200;

/// Three nodes with an in-memory network.
struct Group {
    nodes: BTreeMap<NodeId, Node>,
    in_flight: VecDeque<(NodeId, Outgoing)>,
    committed: u64,
    messages: u64,
}

impl Group {
    fn new() -> Self {
        let member = |id| (NodeId(id), SocketAddr::from(([127, 0, 0, 1], 0)));
        let membership = Membership {
            voters: (1..=3).map(member).collect(),
            learners: BTreeMap::new(),
        };
        let node = |id| {
            let options = Options::default();
            let recovered = Recovered::default();
            let membership = membership.clone();
            Node::new(NodeId(id), options, membership, recovered, id, Monotonic(0))
        };
        Self {
            nodes: (1..=3).map(|id| (NodeId(id), node(id))).collect(),
            in_flight: VecDeque::new(),
            committed: 0,
            messages: 0,
        }
    }

    /// Delivers messages until none is left. Every write counts as synced at once.
    fn deliver_all(&mut self, now: Monotonic) {
        loop {
            for (id, node) in &mut self.nodes {
                while let Some(ready) = node.ready() {
                    node.persisted(now, ready.number);
                    self.committed += ready.committed.len() as u64;
                    let messages = ready.messages.into_iter();
                    let messages = messages.chain(ready.messages_after_persist);
                    self.in_flight
                        .extend(messages.map(|outgoing| (*id, outgoing)));
                }
            }
            if self.in_flight.is_empty() {
                return;
            }
            for (from, outgoing) in std::mem::take(&mut self.in_flight) {
                self.messages += 1;
                if let Some(node) = self.nodes.get_mut(&outgoing.to) {
                    node.step(now, from, outgoing.message);
                }
            }
        }
    }
}

/// Returns a command-line argument as a number, or `default` if it is missing or not a
/// number.
fn argument(position: usize, default: u64) -> u64 {
    let text = std::env::args().nth(position);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let commands = argument(1, 200_000);
    let burst = argument(2, 10).max(1);
    let mut group = Group::new();
    let leader = NodeId(1);
    let now = group.nodes[&leader].next_wakeup();
    if let Some(node) = group.nodes.get_mut(&leader) {
        node.tick(now);
    }
    group.deliver_all(now);
    let started_at = Instant::now();
    for first in (0..commands).step_by(usize::try_from(burst).unwrap_or(usize::MAX)) {
        for _ in first..commands.min(first + burst) {
            if let Some(node) = group.nodes.get_mut(&leader) {
                node.propose(now, vec![7; COMMAND_BYTES]).ok();
            }
        }
        group.deliver_all(now);
    }
    let seconds = started_at.elapsed().as_secs_f64();
    println!("commands {commands}, burst {burst}, seconds {seconds:.3}");
    println!("commits a second {:.0}", commands as f64 / seconds);
    println!("entries applied by the three nodes {}", group.committed);
    println!("messages {}", group.messages);
}
