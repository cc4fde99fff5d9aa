//! Messages of the leader. They are collected while an input is handled, and
//! sent at its end only if the lease still holds.

use crate::sender::{AddressedMessage, Sender};
use transport::{OperationReply, PeerMessage, Rejection, Reply, RequestId};
use types::{
    Address, OrderKind, OrderSequence, RunName, RunnerId, RunnerIncarnation, RunnerOrder, Term,
};

/// Content of an order without its term and sequence number.
#[derive(Debug)]
pub(super) struct OrderContent {
    pub(super) runner: RunnerId,
    pub(super) incarnation: RunnerIncarnation,
    pub(super) name: Option<RunName>,
    pub(super) kind: OrderKind,
}

/// Order and the agent that serves its runner.
#[derive(Debug)]
struct AddressedOrder {
    agent: Sender,
    order: RunnerOrder,
}

/// Orders for one agent.
struct OrderBatch {
    agent: Sender,
    orders: Vec<RunnerOrder>,
}

/// Messages and orders that have not been sent yet.
#[derive(Debug)]
pub(super) struct Outbox {
    own: Address,
    term: Term,
    last_order: OrderSequence,
    orders: Vec<AddressedOrder>,
    messages: Vec<AddressedMessage>,
}

impl Outbox {
    /// Creates an empty outbox of the leader of `term`.
    pub(super) fn new(own: Address, term: Term) -> Self {
        Self {
            own,
            term,
            last_order: OrderSequence(0),
            orders: Vec::new(),
            messages: Vec::new(),
        }
    }

    /// Collects an answer to `sender`.
    pub(super) fn answer(&mut self, sender: &Sender, message: PeerMessage) {
        self.messages.push(sender.answer(&self.own, message));
    }

    /// Collects the final answer to a request.
    pub(super) fn reply(
        &mut self,
        sender: &Sender,
        id: RequestId,
        result: Result<OperationReply, Rejection>,
    ) {
        self.answer(sender, PeerMessage::Reply(Reply { id, result }));
    }

    /// Collects an order for the agent that serves its runner.
    pub(super) fn add_order(&mut self, agent: Sender, content: OrderContent) {
        self.last_order = self.last_order.next();
        let order = RunnerOrder {
            term: self.term,
            sequence: self.last_order,
            runner: content.runner,
            incarnation: content.incarnation,
            name: content.name,
            kind: content.kind,
        };
        self.orders.push(AddressedOrder { agent, order });
    }

    /// Packs the orders collected for each agent into one message.
    pub(super) fn pack_orders(&mut self) {
        let mut batches: Vec<OrderBatch> = Vec::new();
        for AddressedOrder { agent, order } in std::mem::take(&mut self.orders) {
            match batches.iter_mut().find(|batch| batch.agent == agent) {
                Some(batch) => batch.orders.push(order),
                None => batches.push(OrderBatch {
                    agent,
                    orders: vec![order],
                }),
            }
        }
        for OrderBatch { agent, orders } in batches {
            let message = PeerMessage::Orders {
                term: self.term,
                agent: agent.address.node,
                orders,
            };
            self.answer(&agent, message);
        }
    }

    /// Returns the collected messages and clears them.
    pub(super) fn take_messages(&mut self) -> Vec<AddressedMessage> {
        std::mem::take(&mut self.messages)
    }

    /// Discards the orders that are not packed into a message yet.
    pub(super) fn discard_orders(&mut self) {
        self.orders.clear();
    }

    /// Discards all messages except replies to requests. Only a leader with a
    /// valid lease may send the others. Replies remain correct and are sent when
    /// the lease holds again.
    pub(super) fn retain_replies(&mut self) {
        self.messages
            .retain(|addressed| is_reply(&addressed.message));
    }
}

fn is_reply(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::Reply(_) => true,
        PeerMessage::Relay(relay) => matches!(*relay.body, PeerMessage::Reply(_)),
        _ => false,
    }
}
