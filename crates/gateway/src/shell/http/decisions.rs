//! The decision log as JSON lines, as one page or as a stream of new entries.
//!
//! Each leader numbers its entries from 1 and keeps the newest. To detect a change of
//! leader, a poll also requests the last entry that was read. If that entry is missing
//! or belongs to another term, the log of the new leader is read from its beginning.

use crate::shell::http::Server;
use crate::shell::http::answer::{Failure, unexpected};
use crate::shell::http::requester::Requester;
use api::BodyError;
use api::decision::{DecisionLine, DecisionsQuery};
use api::rejection::Code;
use api::route::JSON_LINES;
use axum::body::{Body, Bytes};
use axum::extract::rejection::QueryRejection;
use axum::extract::{Query, State};
use axum::http::header;
use axum::response::{IntoResponse, Response};
use futures_util::stream::unfold;
use std::convert::Infallible;
use std::time::Duration;
use transport::{DecisionEntry, Operation, OperationReply};

/// Pause after a poll that returned nothing new.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Handles `GET /v1/decisions`. With `follow`, the response does not end before the
/// gateway stops or a poll is rejected permanently.
pub async fn decisions(
    State(server): State<Server>,
    requester: Requester,
    query: Result<Query<DecisionsQuery>, QueryRejection>,
) -> Result<Response, Failure> {
    let Query(query) = query.map_err(|error| BodyError::new("query", error.body_text()))?;
    let mut tail = Tail {
        server,
        requester,
        limit: query.checked_limit()?,
        last: Position {
            number: query.after,
            term: query.term,
        },
    };
    let first = tail.poll().await?;
    let body = if query.follow {
        Body::from_stream(unfold((Some(first), tail), next_chunk))
    } else {
        Body::from(first)
    };
    Ok(([(header::CONTENT_TYPE, JSON_LINES)], body).into_response())
}

/// Position of the last entry that was read.
#[derive(Debug, Clone, Copy)]
struct Position {
    number: u64,
    /// Term of the entry. `None` if the client did not specify it.
    term: Option<u64>,
}

/// Reader of the log for one client.
struct Tail {
    server: Server,
    requester: Requester,
    limit: u32,
    last: Position,
}

impl Tail {
    /// Reads the next entries as JSON lines. Returns no bytes if there are no new ones.
    async fn poll(&mut self) -> Result<Vec<u8>, Failure> {
        let entries = match self.last.term {
            Some(term) if self.last.number > 0 => self.fetch_after_known(term).await?,
            _ => self.fetch(self.last.number, self.limit).await?,
        };
        if let Some(newest) = entries.last() {
            self.last = Position {
                number: newest.number,
                term: Some(newest.term.0),
            };
        }
        to_json_lines(entries)
    }

    async fn fetch_after_known(&mut self, term: u64) -> Result<Vec<DecisionEntry>, Failure> {
        let number = self.last.number;
        let mut entries = self.fetch(number - 1, self.limit + 1).await?;
        if entries.first().is_none_or(|entry| entry.term.0 != term) {
            return self.fetch(0, self.limit).await;
        }
        entries.retain(|entry| entry.number > number);
        Ok(entries)
    }

    async fn fetch(&self, after: u64, limit: u32) -> Result<Vec<DecisionEntry>, Failure> {
        let operation = Operation::Decisions { after, limit };
        match self.server.execute(&self.requester, operation).await? {
            OperationReply::Decisions(entries) => Ok(entries),
            _ => Err(unexpected()),
        }
    }
}

type Chunk = Result<Bytes, Infallible>;

/// Returns the next bytes of a followed log. `None` ends the stream.
async fn next_chunk((first, mut tail): (Option<Vec<u8>>, Tail)) -> Option<(Chunk, TailState)> {
    if let Some(bytes) = first.filter(|bytes| !bytes.is_empty()) {
        return Some((Ok(bytes.into()), (None, tail)));
    }
    let mut stop = tail.server.stop.clone();
    loop {
        let wait = match tail.poll().await {
            Ok(lines) if lines.is_empty() => POLL_INTERVAL,
            Ok(lines) => return Some((Ok(lines.into()), (None, tail))),
            Err(failure) => retry_wait(&failure)?,
        };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            _ = stop.wait_for(|stop| *stop) => return None,
        }
    }
}

type TailState = (Option<Vec<u8>>, Tail);

/// Returns the pause after a rejection. `None` if the rejection is permanent, for
/// example because the key was revoked.
fn retry_wait(failure: &Failure) -> Option<Duration> {
    let body = failure.body();
    match body.code {
        Code::Overloaded | Code::Unavailable | Code::TimedOut => {
            let retry_after = Duration::from_millis(body.retry_after_ms.unwrap_or(0));
            Some(retry_after.max(POLL_INTERVAL))
        }
        _ => None,
    }
}

fn to_json_lines(entries: Vec<DecisionEntry>) -> Result<Vec<u8>, Failure> {
    let mut bytes = Vec::new();
    for entry in entries {
        let line = DecisionLine::from(entry);
        serde_json::to_writer(&mut bytes, &line).map_err(|error| BodyError::new("line", error))?;
        bytes.push(b'\n');
    }
    Ok(bytes)
}
