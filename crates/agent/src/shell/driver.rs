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

/// Maximum number of runners whose URL is stored, which is the maximum number of runners
/// of the core. The URL that was received first is dropped first.
const MAX_URLS: usize = 256;

/// URL at which a runner takes orders.
#[derive(Debug)]
struct KnownUrl {
    url: OrdersUrl,
    received_at: Monotonic,
}

/// The core, with the resources that its effects need.
pub struct Driver<C> {
    agent: Agent,
    transport: Transport,
    order_sender: C,
    readiness: Readiness,
    orders_urls: BTreeMap<RunnerId, KnownUrl>,
    deliveries: JoinSet<(RunnerOrder, OrderAnswer)>,
    stopped: bool,
}

impl<C: OrderSender> Driver<C> {
    /// Creates a driver of a new agent.
    pub fn new(agent: Agent, transport: Transport, order_sender: C, readiness: Readiness) -> Self {
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

    /// Runs until the core has stopped, at most until `grace` after `stop` became true.
    pub async fn run(
        mut self,
        mut requests: mpsc::Receiver<CoreRequest>,
        mut arriving: transport::Inbox,
        mut stop: watch::Receiver<bool>,
        grace: Duration,
    ) {
        self.drive(&mut requests, &mut arriving, transport::stopped(&mut stop))
            .await;
        self.input(Input::Stop);
        let stopping = self.drive(&mut requests, &mut arriving, std::future::pending());
        if tokio::time::timeout(grace, stopping).await.is_err() {
            tracing::warn!("stopped with orders unanswered");
        }
    }

    /// Passes inputs to the core until it has stopped or `until` completes.
    async fn drive(
        &mut self,
        requests: &mut mpsc::Receiver<CoreRequest>,
        arriving: &mut transport::Inbox,
        until: impl Future<Output = ()>,
    ) {
        tokio::pin!(until);
        while !self.stopped {
            let pause = self.pause();
            tokio::select! {
                () = &mut until => return,
                Some(envelope) = arriving.recv() => self.input(Input::Peer(envelope)),
                Some(request) = requests.recv() => self.answer(request),
                Some(delivered) = self.deliveries.join_next() => {
                    // The core expires the order of a delivery that panicked.
                    if let Ok((order, answer)) = delivered {
                        self.answered(order, answer);
                    }
                }
                () = tokio::time::sleep(pause) => self.input(Input::Tick),
            }
        }
    }

    /// Returns the time until the core needs a tick.
    fn pause(&self) -> Duration {
        let now = transport::clock::now().monotonic;
        Duration::from_millis(self.agent.next_wakeup().since(now).0)
    }

    fn answered(&mut self, order: RunnerOrder, answer: OrderAnswer) {
        metrics::counter!(
            "cypressdrum_agent_orders_total",
            "answer" => answer_name(&answer)
        )
        .increment(1);
        self.input(Input::Answered { order, answer });
    }

    fn answer(&mut self, request: CoreRequest) {
        match request {
            CoreRequest::Authorize { token, answer } => {
                let configuration = self.agent.configuration(transport::clock::now());
                // An error means that the handler has been dropped.
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
