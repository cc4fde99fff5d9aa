//! HTTP client that tries a list of gateways in order.
//!
//! Every operation is idempotent, so a request to a gateway that is unreachable
//! or has no leader is sent to the next one.

use crate::client::{ClientError, Connection};
use api::rejection::{Code, RejectionBody};
use api::route::{DEADLINE_HEADER, MAX_DEADLINE_MS};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::time::Duration;

/// Time beyond the deadline sent to the gateway that a response may take.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Body argument of a request without a body.
pub const NO_BODY: Option<&()> = None;

/// HTTP client that sends each request to the first gateway that serves it.
pub struct GatewayClient {
    http: Client,
    gateways: Vec<Url>,
    token: Option<String>,
    deadline_ms: u64,
}

/// A request, independent of the gateway that it is sent to.
struct GatewayRequest<'a, B> {
    method: Method,
    path: &'a str,
    query: Vec<(&'a str, String)>,
    body: Option<&'a B>,
}

impl GatewayClient {
    /// Checks the gateway URLs and reads the key file. The first request opens a
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails if a URL is malformed, the key file cannot be read or holds no token,
    /// or the HTTP client cannot be built.
    pub fn connect(connection: &Connection) -> Result<Self, ClientError> {
        let gateways = connection.gateway.iter().map(|url| parse_url(url));
        Ok(Self {
            http: Client::builder().build()?,
            gateways: gateways.collect::<Result<_, _>>()?,
            token: connection.key_file.as_deref().map(read_token).transpose()?,
            deadline_ms: connection.timeout_ms.clamp(1, MAX_DEADLINE_MS),
        })
    }

    /// Sends a `GET` request with a query and returns the parsed response.
    ///
    /// # Errors
    ///
    /// Fails if no gateway answers in time, or with the gateway's rejection.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: Vec<(&str, String)>,
    ) -> Result<T, ClientError> {
        self.send_request(GatewayRequest {
            method: Method::GET,
            path,
            query,
            body: NO_BODY,
        })
        .await
    }

    /// Sends a request with a body, such as `POST`, `PUT` or `PATCH`, and returns
    /// the parsed response.
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
        self.send_request(GatewayRequest {
            method,
            path,
            query: Vec::new(),
            body,
        })
        .await
    }

    /// Sends a `GET` request whose response is read in chunks, without a time
    /// limit.
    ///
    /// # Errors
    ///
    /// Fails if no gateway answers in time, or with the gateway's rejection.
    pub async fn stream(
        &self,
        path: &str,
        query: Vec<(&str, String)>,
    ) -> Result<Response, ClientError> {
        let gateway_request = GatewayRequest {
            method: Method::GET,
            path,
            query,
            body: NO_BODY,
        };
        let mut failures = Vec::new();
        for gateway in &self.gateways {
            match self.request(gateway, &gateway_request)?.send().await {
                Err(error) => failures.push(describe_error(gateway, &error)),
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => failures.push(self.rejection(gateway, response).await?),
            }
        }
        Err(ClientError::Unavailable(failures))
    }

    async fn send_request<B: Serialize, T: DeserializeOwned>(
        &self,
        gateway_request: GatewayRequest<'_, B>,
    ) -> Result<T, ClientError> {
        let mut failures = Vec::new();
        for gateway in &self.gateways {
            let request = self.request(gateway, &gateway_request)?;
            let timeout = Duration::from_millis(self.deadline_ms) + RESPONSE_MARGIN;
            match request.timeout(timeout).send().await {
                Err(error) => failures.push(describe_error(gateway, &error)),
                Ok(response) if response.status().is_success() => {
                    return read_response(response).await;
                }
                Ok(response) => failures.push(self.rejection(gateway, response).await?),
            }
        }
        Err(ClientError::Unavailable(failures))
    }

    fn request<B: Serialize>(
        &self,
        gateway: &Url,
        gateway_request: &GatewayRequest<'_, B>,
    ) -> Result<RequestBuilder, ClientError> {
        let url = gateway
            .join(gateway_request.path)
            .map_err(|error| ClientError::Url {
                url: gateway.to_string(),
                reason: error.to_string(),
            })?;
        let mut request = self
            .http
            .request(gateway_request.method.clone(), url)
            .header(DEADLINE_HEADER, self.deadline_ms)
            .query(&gateway_request.query);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        if let Some(body) = gateway_request.body {
            request = request.json(body);
        }
        Ok(request)
    }

    /// Reads an error response. Returns a description if another gateway may serve
    /// the request.
    ///
    /// # Errors
    ///
    /// Fails with the rejection if it is final, or if the response is invalid.
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

/// Returns whether another gateway may serve the request immediately.
fn is_retryable_elsewhere(code: Code) -> bool {
    matches!(code, Code::Unavailable | Code::TimedOut)
}

fn describe_error(gateway: &Url, error: &reqwest::Error) -> String {
    let mut text = format!("{gateway}: {error}");
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}

async fn read_response<T: DeserializeOwned>(response: Response) -> Result<T, ClientError> {
    let url = response.url().to_string();
    response.json().await.map_err(|error| ClientError::Answer {
        url,
        reason: error.to_string(),
    })
}

fn parse_url(text: &str) -> Result<Url, ClientError> {
    let invalid = |reason: String| ClientError::Url {
        url: text.to_owned(),
        reason,
    };
    let url = Url::parse(text).map_err(|error| invalid(error.to_string()))?;
    match url.scheme() {
        "http" => Ok(url),
        _ => Err(invalid("the URL must begin with http://".to_owned())),
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
