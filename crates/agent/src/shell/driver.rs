//! The task that owns the core, passes inputs to it and carries out its effects.

use super::delivery::OrderSender;
use super::handle::CoreRequest;
use super::key::authorize;
use crate::{Agent, Effect, Input};
use admin::Readiness;
use api::runner::OrdersUrl;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use transport::Transport;
use types::{Monotonic, Now, OrderAnswer, RunnerId, RunnerOrder};

/// Maximum number of runners whose URL is stored, equal to the maximum number of runners
/// of the core. The URL that was not received for the longest time is dropped first.
const MAX_URLS: usize = 256;

/// URL for a runner's orders, and the time of the last heartbeat that contained it.
#[derive(Debug)]
struct KnownUrl {
    url: OrdersUrl,
    received_at: Monotonic,
}

/// The core of an agent, with the connections and tasks that carry out its effects.
pub struct Driver<S> {
    agent: Agent,
    transport: Transport,
    order_sender: S,
    readiness: Readiness,
    orders_urls: BTreeMap<RunnerId, KnownUrl>,
    deliveries: JoinSet<(RunnerOrder, OrderAnswer)>,
    stopped: bool,
}

impl<S: OrderSender> Driver<S> {
    /// Creates a driver. `readiness` is set when the agent becomes ready or not ready.
    pub fn new(agent: Agent, transport: Transport, order_sender: S, readiness: Readiness) -> Self {
        Self {
            agent,
            transport,
            order_sender,
            readiness,
            orders_urls: BTreeMap::new(),
            deliveries: JoinSet::new(),
            stopped: false,
        }
    }

    /// Runs until the core has stopped, at most for `grace` after `stop` becomes true.
    pub async fn run(
        mut self,
        mut requests: mpsc::Receiver<CoreRequest>,
        mut inbox: transport::Inbox,
        mut stop: watch::Receiver<bool>,
        grace: Duration,
    ) {
        self.drive(&mut requests, &mut inbox, transport::stopped(&mut stop))
            .await;
        self.input(Input::Stop);
        let stopping = self.drive(&mut requests, &mut inbox, std::future::pending());
        if tokio::time::timeout(grace, stopping).await.is_err() {
            tracing::warn!("stopped with orders unanswered");
        }
    }

    /// Passes inputs to the core until it has stopped or `until` completes.
    async fn drive(
        &mut self,
        requests: &mut mpsc::Receiver<CoreRequest>,
        inbox: &mut transport::Inbox,
        until: impl Future<Output = ()>,
    ) {
        tokio::pin!(until);
        while !self.stopped {
            let until_wakeup = self.time_until_wakeup();
            tokio::select! {
                () = &mut until => return,
                Some(envelope) = inbox.recv() => self.input(Input::Peer(envelope)),
                Some(request) = requests.recv() => self.handle_request(request),
                Some(delivery) = self.deliveries.join_next() => {
                    // If the delivery panicked, the order expires in the core.
                    if let Ok((order, answer)) = delivery {
                        self.complete_delivery(order, answer);
                    }
                }
                () = tokio::time::sleep(until_wakeup) => self.input(Input::Tick),
            }
        }
    }

    /// Returns the time until the core needs a tick.
    fn time_until_wakeup(&self) -> Duration {
        let now = transport::clock::now().monotonic;
        Duration::from_millis(self.agent.next_wakeup().since(now).0)
    }

    fn complete_delivery(&mut self, order: RunnerOrder, answer: OrderAnswer) {
        metrics::counter!(
            "cypressdrum_agent_orders_total",
            "answer" => answer_name(&answer)
        )
        .increment(1);
        self.input(Input::Answered { order, answer });
    }

    fn handle_request(&mut self, request: CoreRequest) {
        match request {
            CoreRequest::Authorize { token, answer } => {
                let configuration = self.agent.configuration(transport::clock::now());
                // Sending fails if the HTTP handler was dropped.
                let _ = answer.send(authorize(configuration, token.as_deref()));
            }
            CoreRequest::Heartbeat {
                report,
                orders_url,
                answer,
            } => {
                let runner = report.runner.clone();
                if let Some(url) = orders_url {
                    self.store_url(&runner, url);
                }
                self.input(Input::Heartbeat(report));
                let _ = answer.send(self.agent.heartbeat_answer(&runner));
            }
            CoreRequest::Updates { runner, answer } => {
                let _ = answer.send(self.agent.heartbeat_answer(&runner));
            }
        }
    }

    fn store_url(&mut self, runner: &RunnerId, url: OrdersUrl) {
        let received_at = transport::clock::now().monotonic;
        let known = KnownUrl { url, received_at };
        self.orders_urls.insert(runner.clone(), known);
        if self.orders_urls.len() > MAX_URLS {
            let oldest = self
                .orders_urls
                .iter()
                .min_by_key(|(_, known)| known.received_at);
            let oldest = oldest.map(|(runner, _)| runner.clone());
            oldest.and_then(|runner| self.orders_urls.remove(&runner));
        }
    }

    /// Passes an input to the core, and carries out its effects.
    fn input(&mut self, input: Input) {
        let now = transport::clock::now();
        let mut effects = Vec::new();
        self.agent.handle(now, input, &mut effects);
        for effect in effects {
            self.perform(now, effect);
        }
    }

    fn perform(&mut self, now: Now, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.transport.send(to, message),
            Effect::Deliver { order } => self.deliver(now, order),
            Effect::Ready(Ok(())) => {
                tracing::info!("ready");
                self.readiness.set_ready();
            }
            Effect::Ready(Err(reason)) => {
                tracing::info!(%reason, "not ready");
                self.readiness.set_not_ready(&reason.to_string());
            }
            Effect::Stopped => self.stopped = true,
        }
    }

    fn deliver(&mut self, now: Now, order: RunnerOrder) {
        let order_sender = self.order_sender.clone();
        let known = self.orders_urls.get(&order.runner);
        let url = known.map(|known| known.url.clone());
        self.deliveries.spawn(async move {
            let delivery = order_sender.deliver(url.as_ref(), &order, now.monotonic);
            let answer = delivery.await;
            (order, answer)
        });
    }
}

/// Returns the value of the label `answer` of `cypressdrum_agent_orders_total`.
fn answer_name(answer: &OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Started => "started",
        OrderAnswer::Stopping => "stopping",
        OrderAnswer::Revoked => "voided",
        OrderAnswer::Active => "held",
        OrderAnswer::Ended => "ended",
        OrderAnswer::Rejected(_) => "refused",
        OrderAnswer::Unknown => "unknown",
    }
}
