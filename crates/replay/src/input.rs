//! One line of input.

use api::BodyError;
use api::cancel::CancelBody;
use api::configuration::{ConfigurationBody, ConfigurationUpdateBody};
use api::job::JobBody;
use api::runner::{HeartbeatBody, OrderAnswerBody, RunnerBodyError};
use serde::Deserialize;
use thiserror::Error;
use transport::Operation;
use types::{ConfigurationVersion, OrderAnswer, RunnerId, RunnerReport, WallTime};

/// How a field is named that was not read to its end.
const UNNAMED: &str = "?";

/// Why a line cannot be taken.
#[derive(Debug, Error)]
pub enum LineError {
    /// A body or field is wrong.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// A heartbeat or an answer is wrong.
    #[error(transparent)]
    Runner(#[from] RunnerBodyError),
    /// More than one input on a line.
    #[error(
        "a line holds at most one of submit, cancel, configuration, update, heartbeat and answer, not {found}"
    )]
    Several {
        /// How many it holds.
        found: usize,
    },
    /// A runner's input without the runner, or the reverse.
    #[error("runner must be given with heartbeat or answer, and with nothing else")]
    Runnerless,
    /// Time goes back.
    #[error("at_ms: {at} lies before {last}, the time of the line before")]
    TimeGoesBack {
        /// Time of this line.
        at: u64,
        /// Time of the line before.
        last: u64,
    },
    /// Time jumps further than is walked.
    #[error("at_ms: {at} lies more than {max} ms after {last}, the time of the line before")]
    Gap {
        /// Time of this line.
        at: u64,
        /// Time of the line before.
        last: u64,
        /// Longest gap.
        max: u64,
    },
    /// The line is too long.
    #[error("the line is longer than {max} bytes")]
    TooLong {
        /// Longest line.
        max: u64,
    },
    /// The core would not lead: a fault of the program, not of the line.
    #[error("the coordinator did not come into service")]
    NotServing,
}

/// A version and its document.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigurationInput {
    version: u64,
    document: ConfigurationBody,
}

/// A version and the changes that make it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct UpdateInput {
    version: u64,
    changes: ConfigurationUpdateBody,
}

/// A line as it is in the input.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLine {
    at_ms: u64,
    submit: Option<JobBody>,
    cancel: Option<CancelBody>,
    configuration: Option<ConfigurationInput>,
    update: Option<UpdateInput>,
    runner: Option<RunnerId>,
    heartbeat: Option<HeartbeatBody>,
    answer: Option<OrderAnswerBody>,
}

/// What a line asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum InputKind {
    /// A request of a caller or operator.
    Request(Box<Operation>),
    /// A runner's heartbeat.
    Heartbeat(Box<RunnerReport>),
    /// The runner's answer to the next order it gets.
    Answer {
        /// The runner.
        runner: RunnerId,
        /// What it will say.
        answer: OrderAnswer,
    },
    /// Only time passes.
    Advance,
}

/// A line, checked by itself.
#[derive(Debug, Clone, PartialEq)]
pub struct InputLine {
    /// When, on the wall clock.
    pub at: WallTime,
    /// What.
    pub kind: InputKind,
}

impl InputLine {
    /// Reads a line.
    ///
    /// # Errors
    ///
    /// Names the field of the line that cannot be read.
    pub fn parse(bytes: &[u8]) -> Result<Self, LineError> {
        let raw: RawLine = api::parse_json(bytes).map_err(name_truncated)?;
        let at = WallTime(raw.at_ms);
        let kind = raw.into_kind()?;
        Ok(Self { at, kind })
    }
}

impl RawLine {
    fn into_kind(self) -> Result<InputKind, LineError> {
        self.check_single()?;
        if let Some(job) = self.submit {
            return Ok(request(Operation::Submit(job.into())));
        }
        if let Some(cancel) = self.cancel {
            let selector = in_field("cancel", cancel.into_selector())?;
            return Ok(request(Operation::Cancel(selector)));
        }
        if let Some(input) = self.configuration {
            let version = ConfigurationVersion(input.version);
            let document = in_field("configuration.document", input.document.into_document())?;
            return Ok(request(Operation::PutConfiguration { version, document }));
        }
        if let Some(input) = self.update {
            let version = ConfigurationVersion(input.version);
            let update = in_field("update.changes", input.changes.into_update())?;
            return Ok(request(Operation::UpdateConfiguration { version, update }));
        }
        match (self.runner, self.heartbeat, self.answer) {
            (Some(runner), Some(heartbeat), None) => {
                let (report, _) = heartbeat.into_report(runner)?;
                Ok(InputKind::Heartbeat(Box::new(report)))
            }
            (Some(runner), None, Some(answer)) => {
                let answer = answer.try_into()?;
                Ok(InputKind::Answer { runner, answer })
            }
            _ => Ok(InputKind::Advance),
        }
    }

    fn check_single(&self) -> Result<(), LineError> {
        let of_runner = [self.heartbeat.is_some(), self.answer.is_some()];
        let of_caller = [
            self.submit.is_some(),
            self.cancel.is_some(),
            self.configuration.is_some(),
            self.update.is_some(),
        ];
        let inputs = of_runner.iter().chain(&of_caller);
        let found = inputs.filter(|given| **given).count();
        if found > 1 {
            return Err(LineError::Several { found });
        }
        if self.runner.is_some() != of_runner.contains(&true) {
            return Err(LineError::Runnerless);
        }
        Ok(())
    }
}

fn request(operation: Operation) -> InputKind {
    InputKind::Request(Box::new(operation))
}

/// A line cut short within an object has no field to name.
fn name_truncated(error: BodyError) -> BodyError {
    match error.path.as_str() {
        UNNAMED => BodyError::new("body", error.message),
        _ => error,
    }
}

/// Puts the field of the line before the place within its body.
fn in_field<T>(field: &str, result: Result<T, BodyError>) -> Result<T, BodyError> {
    result.map_err(|error| BodyError::new(format!("{field}.{}", error.path), error.message))
}
