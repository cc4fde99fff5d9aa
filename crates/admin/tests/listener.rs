//! Routes of the admin listener, over a TCP socket.

use admin::{Readiness, bind, install_metrics, routes, serve, serve_on};
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A listener that serves in a task of its own.
struct Listener {
    socket: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<Result<(), admin::ServeError>>,
}

/// Serves the admin routes on a free port.
async fn listen(readiness: Readiness) -> Listener {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let socket = listener.local_addr().unwrap();
    let (stop, stop_receiver) = watch::channel(false);
    let server = tokio::spawn(serve_on(listener, routes(readiness), stop_receiver));
    Listener {
        socket,
        stop,
        server,
    }
}

/// Returns the status and the text of the response to a `GET`.
async fn get(listener: &Listener, path: &str) -> (u16, String) {
    let url = format!("http://{}{path}", listener.socket);
    let response = reqwest::get(url).await.unwrap();
    let status = response.status().as_u16();
    (status, response.text().await.unwrap())
}

#[tokio::test]
async fn readyz_returns_reason_while_not_ready() {
    let readiness = Readiness::starting();
    let listener = listen(readiness.clone()).await;
    assert_eq!(get(&listener, "/livez").await.0, 200);
    assert_eq!(
        get(&listener, "/readyz").await,
        (503, "starting\n".to_owned())
    );
    readiness.set_ready();
    assert_eq!(get(&listener, "/readyz").await, (200, "ok\n".to_owned()));
    readiness.set_not_ready("no leader");
    assert_eq!(
        get(&listener, "/readyz").await,
        (503, "no leader\n".to_owned())
    );
    assert_eq!(get(&listener, "/livez").await.0, 200);
}

#[tokio::test]
async fn recorder_installed_twice_serves_prometheus_text() {
    install_metrics().unwrap();
    install_metrics().unwrap();
    metrics::counter!("admin_test_total").increment(3);
    metrics::histogram!("admin_test_seconds").record(0.02);
    let listener = listen(Readiness::starting()).await;
    let (status, text) = get(&listener, "/metrics").await;
    assert_eq!(status, 200);
    assert!(text.contains("admin_test_total 3"), "{text}");
    assert!(
        text.contains("admin_test_seconds_bucket{le=\"0.025\"} 1"),
        "{text}"
    );
}

#[tokio::test]
async fn stop_ends_listener() {
    let listener = listen(Readiness::starting()).await;
    listener.stop.send(true).unwrap();
    listener.server.await.unwrap().unwrap();
}

#[tokio::test]
async fn bind_of_used_socket_fails_with_its_address() {
    let listener = listen(Readiness::starting()).await;
    let (_stop, stop_receiver) = watch::channel(false);
    let result = serve(
        listener.socket,
        routes(Readiness::starting()),
        stop_receiver,
    )
    .await;
    let text = result.unwrap_err().to_string();
    assert!(text.contains(&listener.socket.to_string()), "{text}");
}
