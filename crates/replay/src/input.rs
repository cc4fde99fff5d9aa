//! Lines of input and their checks.

use api::BodyError;
use api::cancel::CancelBody;
use api::configuration::{ConfigurationBody, ConfigurationUpdateBody};
use api::job::JobBody;
use api::runner::{HeartbeatBody, OrderAnswerBody, RunnerBodyError};
use serde::Deserialize;
use thiserror::Error;
use transport::Operation;
use types::{ConfigurationVersion, OrderAnswer, RunnerId, RunnerReport, WallTime};

/// Path that the JSON reader gives to a field that was not read completely.
const UNNAMED: &str = "?";

/// Error that prevents a line from being applied.
#[derive(Debug, Error)]
pub enum LineError {
    /// A body or field of the line is not valid.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// A heartbeat or an answer to an order is not valid.
    #[error(transparent)]
    Runner(#[from] RunnerBodyError),
    /// The line holds more than one input.
    #[error(
        "a line holds at most one of submit, cancel, configuration, update, heartbeat and answer, not {found}"
    )]
    Several {
        /// Number of inputs on the line.
        found: usize,
    },
    /// A heartbeat or an answer lacks its runner, or a runner is given without them.
    #[error("runner must be given with heartbeat or answer, and with nothing else")]
    RunnerMismatch,
    /// The line is earlier than the previous one.
    #[error("at_ms: {at} lies before {last}, the time of the previous line")]
    TimeGoesBack {
        /// Time of this line, in milliseconds.
        at: u64,
        /// Time of the previous line, in milliseconds.
        last: u64,
    },
    /// The line is later than the previous one by more than the longest gap.
    #[error("at_ms: {at} lies more than {max} ms after {last}, the time of the previous line")]
    Gap {
        /// Time of this line, in milliseconds.
        at: u64,
        /// Time of the previous line, in milliseconds.
        last: u64,
        /// Maximum time between two lines, in milliseconds.
        max: u64,
    },
    /// The line exceeds the maximum length.
    #[error("the line is longer than {max} bytes")]
    TooLong {
        /// Maximum length of a line, in bytes.
        max: u64,
    },
    /// The core does not lead. This is a fault of the program, not of the line.
    #[error("the coordinator did not start serving")]
    NotServing,
}

/// Configuration document with its version.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigurationInput {
    version: u64,
    document: ConfigurationBody,
}

/// Changes to a configuration, with the version that they create.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct UpdateInput {
    version: u64,
    changes: ConfigurationUpdateBody,
}

/// Line as read, with its fields not checked yet.
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

/// Input that a line holds.
#[derive(Debug, Clone, PartialEq)]
pub enum InputKind {
    /// Request of a caller or operator.
    Request(Box<Operation>),
    /// Heartbeat of a runner.
    Heartbeat(Box<RunnerReport>),
    /// Answer that a runner gives to its next order without one.
    Answer {
        /// Runner that gives the answer.
        runner: RunnerId,
        /// Answer to give.
        answer: OrderAnswer,
    },
    /// No input: only the clock advances.
    Advance,
}

/// Line that is valid on its own, regardless of earlier lines.
#[derive(Debug, Clone, PartialEq)]
pub struct InputLine {
    /// Wall time at which the line is applied.
    pub at: WallTime,
    /// Input to apply.
    pub kind: InputKind,
}

impl InputLine {
    /// Parses a line.
    ///
    /// # Errors
    ///
    /// Fails if the line is not valid. The error names the field.
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
            return Err(LineError::RunnerMismatch);
        }
        Ok(())
    }
}

fn request(operation: Operation) -> InputKind {
    InputKind::Request(Box::new(operation))
}

/// Replaces the path [`UNNAMED`] by `body`, because a line that ends within an object
/// has no complete field to name.
fn name_truncated(error: BodyError) -> BodyError {
    match error.path.as_str() {
        UNNAMED => BodyError::new("body", error.message),
        _ => error,
    }
}

/// Prefixes the path of an error with the field of the line that holds the body.
fn in_field<T>(field: &str, result: Result<T, BodyError>) -> Result<T, BodyError> {
    result.map_err(|error| BodyError::new(format!("{field}.{}", error.path), error.message))
}
