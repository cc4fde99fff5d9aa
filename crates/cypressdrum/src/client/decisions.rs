//! The `decisions` command: prints the decision log, and follows it on request.

use crate::Exit;
use crate::client::arguments::DecisionsArguments;
use crate::client::{ClientError, Context};
use crate::output::{OutputFormat, Show, emit};
use api::decision::DecisionLine;
use api::route;

/// Prints decisions, one per line.
///
/// # Errors
///
/// Fails if no gateway answers, the answer is a rejection, or the stream is
/// interrupted or holds an invalid line.
pub async fn run(context: &Context, arguments: DecisionsArguments) -> Result<Exit, ClientError> {
    let mut query = vec![
        ("after", arguments.after.to_string()),
        ("follow", arguments.follow.to_string()),
    ];
    query.extend(arguments.limit.map(|limit| ("limit", limit.to_string())));
    let mut response = context.gateways.stream(route::DECISIONS, query).await?;
    let url = response.url().to_string();
    let mut lines = LineBuffer::default();
    while let Some(chunk) = response.chunk().await.map_err(|error| {
        ClientError::Unavailable(vec![format!("{url}: the stream was interrupted: {error}")])
    })? {
        for line in lines.push(&chunk) {
            print_line(context.format, &url, &line)?;
        }
    }
    if let Some(line) = lines.finish() {
        print_line(context.format, &url, &line)?;
    }
    Ok(Exit::Done)
}

fn print_line(format: OutputFormat, url: &str, line: &str) -> Result<(), ClientError> {
    if line.trim().is_empty() {
        return Ok(());
    }
    if format == OutputFormat::Json {
        emit(&format!("{line}\n"))?;
        return Ok(());
    }
    let decision: DecisionLine =
        serde_json::from_str(line).map_err(|error| ClientError::Answer {
            url: url.to_owned(),
            reason: error.to_string(),
        })?;
    emit(&decision.table())?;
    Ok(())
}

/// Splits a stream of bytes into lines.
#[derive(Debug, Default)]
pub struct LineBuffer {
    partial: Vec<u8>,
}

impl LineBuffer {
    /// Appends bytes and returns the lines that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.partial.iter().rposition(|byte| *byte == b'\n') else {
            return Vec::new();
        };
        let rest = self.partial.split_off(end + 1);
        let complete = std::mem::replace(&mut self.partial, rest);
        let text = String::from_utf8_lossy(&complete);
        text.lines().map(str::to_owned).collect()
    }

    /// Returns the text after the last line break, or `None` if there is none.
    pub fn finish(self) -> Option<String> {
        if self.partial.is_empty() {
            None
        } else {
            Some(String::from_utf8_lossy(&self.partial).into_owned())
        }
    }
}
