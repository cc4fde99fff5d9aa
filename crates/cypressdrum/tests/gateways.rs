//! Client commands against stub gateways: order in which gateways are tried, and
//! exit codes.

use api::rejection::{Code, RejectionBody};
use axum::Router;
use axum::http::{HeaderMap, StatusCode};
use axum::response::IntoResponse;
use axum::routing::{get, post};
use clap::Parser;
use cypressdrum::{Arguments, Exit};
use std::net::SocketAddr;
use std::path::Path;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// A stub gateway; dropping its runtime stops the server.
struct Stub {
    _runtime: Runtime,
    socket: SocketAddr,
}

impl Stub {
    fn serve(router: Router) -> Self {
        let runtime = Runtime::new().unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = runtime.block_on(TcpListener::bind(any)).unwrap();
        let socket = listener.local_addr().unwrap();
        runtime.spawn(axum::serve(listener, router).into_future());
        Self {
            _runtime: runtime,
            socket,
        }
    }

    fn rejecting(code: Code) -> Self {
        let reject = move || async move {
            let status = StatusCode::from_u16(code.status()).unwrap();
            let body = RejectionBody {
                code,
                message: "rejected by the stub".to_owned(),
                retry_after_ms: None,
                problems: Vec::new(),
            };
            (status, serde_json::to_string(&body).unwrap()).into_response()
        };
        Self::serve(Router::new().fallback(reject))
    }

    fn with_empty_queue_list() -> Self {
        let empty = || async { r#"{"queues":[]}"# };
        Self::serve(Router::new().route(api::route::QUEUES, get(empty)))
    }

    fn url(&self) -> String {
        format!("http://{}", self.socket)
    }
}

/// Returns a URL that no server listens on.
fn unreachable_url() -> String {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = std::net::TcpListener::bind(any).unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}

fn run(command: &str, gateways: &[String]) -> Exit {
    let gateways = gateways.join(",");
    let line = format!("cypressdrum {command} --gateway {gateways}");
    cypressdrum::run(Arguments::try_parse_from(line.split_whitespace()).unwrap())
}

#[test]
fn next_gateway_is_tried_when_one_is_unreachable_or_leaderless() {
    let leaderless = Stub::rejecting(Code::Unavailable);
    let working = Stub::with_empty_queue_list();
    let gateways = [unreachable_url(), leaderless.url(), working.url()];
    assert_eq!(run("queue list", &gateways), Exit::Done);
}

#[test]
fn final_rejection_is_not_retried_on_next_gateway() {
    let forbidden = Stub::rejecting(Code::Forbidden);
    let working = Stub::with_empty_queue_list();
    let gateways = [forbidden.url(), working.url()];
    assert_eq!(run("queue list", &gateways), Exit::Rejected);
}

#[test]
fn rejections_have_documented_exit_codes() {
    for (code, exit) in [
        (Code::Invalid, Exit::Rejected),
        (Code::Unauthenticated, Exit::Rejected),
        (Code::NotFound, Exit::Rejected),
        (Code::Conflict, Exit::Rejected),
        (Code::Overloaded, Exit::Unavailable),
        (Code::Unavailable, Exit::Unavailable),
        (Code::TimedOut, Exit::Unavailable),
    ] {
        let stub = Stub::rejecting(code);
        assert_eq!(
            run("status poster sheet-1", &[stub.url()]),
            exit,
            "{code:?}"
        );
    }
    assert_eq!(run("members", &[unreachable_url()]), Exit::Unavailable);
}

#[test]
fn invalid_files_and_urls_are_usage_errors() {
    let stub = Stub::with_empty_queue_list();
    assert_eq!(run("submit no/such/file", &[stub.url()]), Exit::Usage);
    let ftp = "ftp://127.0.0.1".to_owned();
    assert_eq!(run("queue list", &[ftp]), Exit::Usage);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-token.key");
    std::fs::write(&file, "no token\n").unwrap();
    let command = format!("queue list --key-file {}", file.display());
    assert_eq!(run(&command, &[stub.url()]), Exit::Usage);
}

#[test]
fn jobs_are_submitted_one_by_one_with_token_and_deadline() {
    let accept = |headers: HeaderMap, body: String| async move {
        let bearer = headers
            .get("authorization")
            .map(axum::http::HeaderValue::as_bytes);
        assert_eq!(bearer, Some(b"Bearer editors.secret".as_slice()));
        assert!(headers.contains_key(api::route::DEADLINE_HEADER));
        assert!(body.contains("sheet-"));
        (StatusCode::CREATED, r#"{"number":1,"known":false}"#)
    };
    let stub = Stub::serve(Router::new().route(api::route::JOBS, post(accept)));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let key = folder.join("editors.key");
    std::fs::write(&key, "editors.secret\n").unwrap();
    let job = |name: &str| {
        format!(r#"{{"tenant":"editors","job":"{name}","queue":"hover","steps":[{{"name":"a"}}]}}"#)
    };
    let jobs = folder.join("jobs.json");
    std::fs::write(&jobs, job("sheet-1") + "\n" + &job("sheet-2")).unwrap();
    let command = format!("submit {} --key-file {}", jobs.display(), key.display());
    assert_eq!(run(&command, &[stub.url()]), Exit::Done);

    std::fs::write(&jobs, job("sheet-1") + "{}").unwrap();
    assert_eq!(run(&command, &[stub.url()]), Exit::Usage);
}

#[test]
fn cancel_with_unknown_job_exits_as_rejected() {
    let answer = || async {
        r#"{"cancelled":1,"finished":0,"unknown":[{"tenant":"poster","job":"sheet-2"}]}"#
    };
    let stub = Stub::serve(Router::new().route(api::route::CANCELS, post(answer)));
    let command = "cancel poster sheet-1 sheet-2";
    assert_eq!(run(command, &[stub.url()]), Exit::Rejected);
}
