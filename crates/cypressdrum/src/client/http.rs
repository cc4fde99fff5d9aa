//! Requests to a list of gateways, tried in turn.
//!
//! Every operation may be sent again without harm, so a gateway that is
//! silent or has no leader is followed by the next one.

use crate::client::{ClientError, Connection};
use api::rejection::{Code, RejectionBody};
use api::route::{DEADLINE_HEADER, MAX_DEADLINE_MS};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::time::Duration;

/// Time that an answer may take beyond the deadline sent to the gateway.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// A body of no bytes.
pub const NO_BODY: Option<&()> = None;

/// A client of several gateways.
pub struct GatewayClient {
    http: Client,
    gateways: Vec<Url>,
    token: Option<String>,
    deadline_ms: u64,
}

/// One request, to be sent to whichever gateway answers.
struct Question<'a, B> {
    method: Method,
    path: &'a str,
    query: Vec<(&'a str, String)>,
    body: Option<&'a B>,
}

impl GatewayClient {
    /// Checks URLs and token; connects with the first request.
    ///
    /// # Errors
    ///
    /// Fails if a URL is malformed, the key file cannot be read or the client cannot be built.
    pub fn connect(connection: &Connection) -> Result<Self, ClientError> {
        let gateways = connection.gateway.iter().map(|url| parse_url(url));
        Ok(Self {
            http: Client::builder().build()?,
            gateways: gateways.collect::<Result<_, _>>()?,
            token: connection.key_file.as_deref().map(read_token).transpose()?,
            deadline_ms: connection.timeout_ms.clamp(1, MAX_DEADLINE_MS),
        })
    }

    /// `GET` with a query.
    ///
    /// # Errors
    ///
    /// Fails if no gateway answers in time, or with the gateway's rejection.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: Vec<(&str, String)>,
    ) -> Result<T, ClientError> {
        self.ask(Question {
            method: Method::GET,
            path,
            query,
            body: NO_BODY,
        })
        .await
    }

    /// `POST` or `PUT` with a body.
    ///
    /// # Errors
    ///
    /// Fails if no gateway answers in time, or with the gateway's rejection.
    pub async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<T, ClientError> {
        self.ask(Question {
            method,
            path,
            query: Vec::new(),
            body,
        })
        .await
    }

    /// `GET` whose answer is read piece by piece, without a limit of time.
    ///
    /// # Errors
    ///
    /// Fails if no gateway answers in time, or with the gateway's rejection.
    pub async fn stream(
        &self,
        path: &str,
        query: Vec<(&str, String)>,
    ) -> Result<Response, ClientError> {
        let question = Question {
            method: Method::GET,
            path,
            query,
            body: NO_BODY,
        };
        let mut problems = Vec::new();
        for gateway in &self.gateways {
            match self.request(gateway, &question)?.send().await {
                Err(error) => problems.push(unreachable(gateway, &error)),
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => problems.push(self.rejection(gateway, response).await?),
            }
        }
        Err(ClientError::Unavailable(problems))
    }

    async fn ask<B: Serialize, T: DeserializeOwned>(
        &self,
        question: Question<'_, B>,
    ) -> Result<T, ClientError> {
        let mut problems = Vec::new();
        for gateway in &self.gateways {
            let request = self.request(gateway, &question)?;
            let timeout = Duration::from_millis(self.deadline_ms) + ANSWER_MARGIN;
            match request.timeout(timeout).send().await {
                Err(error) => problems.push(unreachable(gateway, &error)),
                Ok(response) if response.status().is_success() => {
                    return read_answer(response).await;
                }
                Ok(response) => problems.push(self.rejection(gateway, response).await?),
            }
        }
        Err(ClientError::Unavailable(problems))
    }

    fn request<B: Serialize>(
        &self,
        gateway: &Url,
        question: &Question<'_, B>,
    ) -> Result<RequestBuilder, ClientError> {
        let url = gateway
            .join(question.path)
            .map_err(|error| ClientError::Url {
                url: gateway.to_string(),
                reason: error.to_string(),
            })?;
        let mut request = self
            .http
            .request(question.method.clone(), url)
            .header(DEADLINE_HEADER, self.deadline_ms)
            .query(&question.query);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        if let Some(body) = question.body {
            request = request.json(body);
        }
        Ok(request)
    }

    /// The rejection as an error if it is final, else as a line to show when no
    /// other gateway does better.
    async fn rejection(&self, gateway: &Url, response: Response) -> Result<String, ClientError> {
        let status = response.status();
        let bytes = response.bytes().await.unwrap_or_default();
        match serde_json::from_slice::<RejectionBody>(&bytes) {
            Ok(rejection) if is_retryable_elsewhere(rejection.code) => {
                Ok(format!("{gateway}: {}", rejection.message))
            }
            Ok(rejection) => Err(ClientError::Rejected(rejection)),
            Err(_) if status == StatusCode::SERVICE_UNAVAILABLE => {
                Ok(format!("{gateway}: {status}"))
            }
            Err(_) => Err(ClientError::Answer {
                url: gateway.to_string(),
                reason: status.to_string(),
            }),
        }
    }
}

/// Returns whether another gateway may do better at once.
fn is_retryable_elsewhere(code: Code) -> bool {
    matches!(code, Code::Unavailable | Code::TimedOut)
}

fn unreachable(gateway: &Url, error: &reqwest::Error) -> String {
    let mut text = format!("{gateway}: {error}");
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}

async fn read_answer<T: DeserializeOwned>(response: Response) -> Result<T, ClientError> {
    let url = response.url().to_string();
    response.json().await.map_err(|error| ClientError::Answer {
        url,
        reason: error.to_string(),
    })
}

fn parse_url(text: &str) -> Result<Url, ClientError> {
    let reject = |reason: String| ClientError::Url {
        url: text.to_owned(),
        reason,
    };
    let url = Url::parse(text).map_err(|error| reject(error.to_string()))?;
    match url.scheme() {
        "http" => Ok(url),
        _ => Err(reject("it must begin with http://".to_owned())),
    }
}

fn read_token(path: &Path) -> Result<String, ClientError> {
    let text = std::fs::read_to_string(path).map_err(|source| ClientError::Read {
        path: path.to_owned(),
        source,
    })?;
    let token = text.trim();
    let printable = token.bytes().all(|byte| byte.is_ascii_graphic());
    match token.rsplit_once('.') {
        Some((id, secret)) if printable && !id.is_empty() && !secret.is_empty() => {
            Ok(token.to_owned())
        }
        _ => Err(ClientError::Token {
            path: path.to_owned(),
        }),
    }
}
