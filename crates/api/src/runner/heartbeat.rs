//! Heartbeats of runners and the agent's answers.

use super::{OrdersUrl, RunText, RunnerBodyError, in_field};
use serde::{Deserialize, Serialize};
use types::{
    ActiveRun, EndedRun, EndpointName, HeartbeatSequence, Labels, Milliseconds, Outcome, PoolName,
    RackName, Resources, RunnerId, RunnerIncarnation, RunnerReport,
};

/// Labels of one runner at most.
const MAX_LABELS: usize = 64;
/// Characters kept of a failed run's reason; the rest is cut off.
const MAX_REASON_CHARACTERS: usize = 1_024;

/// A runner's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatBody {
    /// This incarnation of the runner; larger than that of any earlier incarnation.
    pub incarnation: u64,
    /// Place among the heartbeats of this incarnation; rises with each.
    pub sequence: u64,
    /// Pool it serves.
    pub pool: String,
    /// Its rack.
    pub rack: String,
    /// Its endpoint, such as the socket it takes orders at. When another
    /// runner reports the same endpoint, this one's runs count as over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "place")]
    pub endpoint: Option<EndpointName>,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
    /// All it has.
    pub capacity: Resources,
    /// What is free now.
    pub free: Resources,
    /// Whether it is about to leave.
    #[serde(default)]
    pub draining: bool,
    /// Whether it stops its own runs at the end of their lease.
    #[serde(default)]
    pub self_stop: bool,
    /// Where it takes orders: `http://<ip>:<port>/<path>`.
    pub orders_url: String,
    /// Every run it holds.
    #[serde(rename = "hold")]
    pub active: Vec<ActiveRunBody>,
    /// Every ended run that was not named in `recorded` yet.
    pub ended: Vec<EndedBody>,
}

/// A run that is going.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActiveRunBody {
    /// The run.
    pub run: RunText,
    /// How long it has been going, in milliseconds.
    pub age_ms: u64,
    /// How far it has come, in percent, where the runner can tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<u8>,
    /// What it saved last; the next run of its task is given it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndedBody {
    /// The run.
    pub run: RunText,
    /// How.
    pub outcome: OutcomeName,
    /// Why it failed, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// What it saved last; the next run of its task is given it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeName {
    /// The task did its work.
    Done,
    /// The task failed.
    Failed,
    /// It was stopped; no failure of the task.
    Stopped,
}

/// The agent's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatAnswerBody {
    /// Highest term the agent has seen: reject orders of lower ones.
    pub term: u64,
    /// Newest heartbeat of the incarnation `incarnation` that reached the leader.
    pub confirmed: Option<u64>,
    /// The incarnation the confirmation is for.
    pub incarnation: u64,
    /// Active runs may go on for this long after heartbeat `confirmed` was sent,
    /// in milliseconds.
    pub lease_ms: u64,
    /// Ended runs that need not be named any more.
    pub recorded: Vec<RunText>,
    /// Active runs to stop.
    pub stop: Vec<RunText>,
}

impl HeartbeatBody {
    /// The body of a report.
    pub fn from_report(report: &RunnerReport, orders_url: &OrdersUrl) -> Self {
        Self {
            incarnation: report.incarnation.0,
            sequence: report.sequence.0,
            pool: report.pool.to_string(),
            rack: report.rack.to_string(),
            endpoint: report.endpoint.clone(),
            labels: report.labels.clone(),
            capacity: report.capacity,
            free: report.free,
            draining: report.draining,
            self_stop: report.self_stop,
            orders_url: orders_url.to_string(),
            active: report.active.iter().map(ActiveRunBody::from).collect(),
            ended: report.ended.iter().map(EndedBody::from).collect(),
        }
    }

    /// The report of `runner`, and where it takes orders.
    ///
    /// # Errors
    ///
    /// Names the field that is out of bounds or holds no valid name.
    pub fn into_report(
        self,
        runner: RunnerId,
    ) -> Result<(RunnerReport, OrdersUrl), RunnerBodyError> {
        let orders_url = OrdersUrl::new(&self.orders_url)?;
        self.check_bounds()?;
        let report = RunnerReport {
            endpoint: self.endpoint,
            unnamed: Vec::new(),
            runner,
            incarnation: RunnerIncarnation(self.incarnation),
            sequence: HeartbeatSequence(self.sequence),
            pool: in_field("pool", PoolName::new(self.pool))?,
            rack: in_field("rack", RackName::new(self.rack))?,
            labels: self.labels,
            capacity: self.capacity,
            free: self.free,
            draining: self.draining,
            self_stop: self.self_stop,
            active: self.active.into_iter().map(ActiveRun::from).collect(),
            ended: self.ended.into_iter().map(EndedRun::from).collect(),
        };
        Ok((report, orders_url))
    }

    fn check_bounds(&self) -> Result<(), RunnerBodyError> {
        if self.labels.len() > MAX_LABELS {
            return Err(RunnerBodyError::Bounds {
                field: "labels",
                message: "a runner has at most 64 labels",
            });
        }
        if !self.free.fits_in(&self.capacity) {
            return Err(RunnerBodyError::Bounds {
                field: "free",
                message: "no more can be free than the capacity",
            });
        }
        Ok(())
    }
}

impl From<&ActiveRun> for ActiveRunBody {
    fn from(active: &ActiveRun) -> Self {
        Self {
            run: RunText(active.run),
            age_ms: active.age.0,
            progress: active.progress,
            checkpoint: active.checkpoint.clone(),
        }
    }
}

impl From<ActiveRunBody> for ActiveRun {
    fn from(body: ActiveRunBody) -> Self {
        Self {
            run: body.run.0,
            age: Milliseconds(body.age_ms),
            progress: body.progress,
            checkpoint: body.checkpoint,
        }
    }
}

impl From<&EndedRun> for EndedBody {
    fn from(ended: &EndedRun) -> Self {
        let (outcome, reason) = match &ended.outcome {
            Outcome::Done => (OutcomeName::Done, None),
            Outcome::Failed(reason) => (OutcomeName::Failed, Some(reason.clone())),
            Outcome::Stopped => (OutcomeName::Stopped, None),
        };
        Self {
            run: RunText(ended.run),
            outcome,
            reason,
            checkpoint: ended.checkpoint.clone(),
        }
    }
}

/// A reason that is missing or too long is no ground to reject an ended run:
/// the runner would name it for ever.
impl From<EndedBody> for EndedRun {
    fn from(body: EndedBody) -> Self {
        let reason = body.reason.unwrap_or_default();
        let outcome = match body.outcome {
            OutcomeName::Done => Outcome::Done,
            OutcomeName::Failed => {
                Outcome::Failed(reason.chars().take(MAX_REASON_CHARACTERS).collect())
            }
            OutcomeName::Stopped => Outcome::Stopped,
        };
        Self {
            run: body.run.0,
            outcome,
            checkpoint: body.checkpoint,
        }
    }
}
