//! JSON bodies of runners' heartbeats and of the agent's responses.

use super::{OrdersUrl, RunText, RunnerBodyError, with_field};
use serde::{Deserialize, Serialize};
use types::{
    ActiveRun, EndedRun, EndpointName, HeartbeatSequence, Labels, Milliseconds, Outcome, PoolName,
    RackName, Resources, RunnerId, RunnerIncarnation, RunnerReport,
};

/// Maximum number of labels of one runner.
const MAX_LABELS: usize = 64;
/// Maximum length of a failed run's reason, in characters. A longer one is
/// truncated.
const MAX_REASON_CHARACTERS: usize = 1_024;

/// Heartbeat of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatBody {
    /// Incarnation of the runner. Larger than that of any earlier incarnation.
    pub incarnation: u64,
    /// Sequence number of the heartbeat. Rises with each heartbeat of the
    /// incarnation.
    pub sequence: u64,
    /// Pool that the runner belongs to.
    pub pool: String,
    /// Rack that the runner is in.
    pub rack: String,
    /// Endpoint of the runner, such as the socket on which it accepts orders.
    /// When another runner reports the same endpoint, the runs of this one are
    /// closed as lost. Absent if the runner reports none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "place")]
    pub endpoint: Option<EndpointName>,
    /// Labels of the runner, at most 64. Default none.
    #[serde(default)]
    pub labels: Labels,
    /// All resources of the runner, used or free.
    pub capacity: Resources,
    /// Resources that are free now. At most `capacity` in every kind.
    pub free: Resources,
    /// Whether the runner is about to leave, so that no new run may start on it.
    /// Default `false`.
    #[serde(default)]
    pub draining: bool,
    /// Whether the runner itself stops its runs when their lease expires.
    /// Default `false`.
    #[serde(default)]
    pub self_stop: bool,
    /// URL to which the agent posts orders: `http://<ip>:<port>/<path>`.
    pub orders_url: String,
    /// Every active run of the runner. Required: a missing list is not read as
    /// an empty one.
    #[serde(rename = "hold")]
    pub active: Vec<ActiveRunBody>,
    /// Every ended run that no answer has listed in `recorded` yet.
    pub ended: Vec<EndedBody>,
}

/// A run that is active on the runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActiveRunBody {
    /// Identifier of the run.
    pub run: RunText,
    /// Time since the start of the run, in milliseconds.
    pub age_ms: u64,
    /// Progress of the run, in percent. Absent if the runner does not report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<u8>,
    /// Last checkpoint of the run, passed on to the next run of its task. Absent
    /// if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// A run that ended on the runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndedBody {
    /// Identifier of the run.
    pub run: RunText,
    /// Outcome of the run.
    pub outcome: OutcomeName,
    /// Reason of a failure, as text for people. Ignored for other outcomes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Last checkpoint of the run, passed on to the next run of its task. Absent
    /// if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// Outcome of a run on its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeName {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped. Not a failure of the task.
    Stopped,
}

/// Response of the agent to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatAnswerBody {
    /// Highest term that the agent has seen. The runner rejects orders of lower
    /// terms.
    pub term: u64,
    /// Sequence number of the newest heartbeat of `incarnation` that the leader
    /// confirmed. `null` if it has confirmed none.
    pub confirmed: Option<u64>,
    /// Incarnation that `confirmed` belongs to.
    pub incarnation: u64,
    /// Run lease, in milliseconds: the time for which active runs may continue
    /// after the runner sent heartbeat `confirmed`.
    pub lease_ms: u64,
    /// Ended runs whose end is committed. The runner need not report them again.
    pub recorded: Vec<RunText>,
    /// Active runs that the runner must stop.
    pub stop: Vec<RunText>,
}

impl HeartbeatBody {
    /// Creates the body of a report.
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

    /// Converts the body to a report of `runner` and the URL for its orders.
    ///
    /// # Errors
    ///
    /// Fails if a field exceeds its bounds or is not a valid name or URL. The
    /// error names the field.
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
            pool: with_field("pool", PoolName::new(self.pool))?,
            rack: with_field("rack", RackName::new(self.rack))?,
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

/// Accepts a missing reason and truncates a long one. If such a run were
/// rejected, the runner would report it in every heartbeat, without end.
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
