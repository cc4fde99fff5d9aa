//! The admin routes over a real socket.

use admin::{Readiness, bind, install_metrics, routes, serve, serve_on};
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::task::JoinHandle;

struct Listener {
    socket: SocketAddr,
    stop: watch::Sender<bool>,
    serving: JoinHandle<Result<(), admin::ServeError>>,
}

async fn listen(readiness: Readiness) -> Listener {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let socket = listener.local_addr().unwrap();
    let (stop, stopping) = watch::channel(false);
    let serving = tokio::spawn(serve_on(listener, routes(readiness), stopping));
    Listener {
        socket,
        stop,
        serving,
    }
}

async fn get(listener: &Listener, path: &str) -> (u16, String) {
    let url = format!("http://{}{path}", listener.socket);
    let response = reqwest::get(url).await.unwrap();
    let status = response.status().as_u16();
    (status, response.text().await.unwrap())
}

#[tokio::test]
async fn readyz_follows_the_readiness_and_names_the_reason() {
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
async fn metrics_are_prometheus_text_and_installing_twice_is_fine() {
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
async fn a_stop_ends_the_listener() {
    let listener = listen(Readiness::starting()).await;
    listener.stop.send(true).unwrap();
    listener.serving.await.unwrap().unwrap();
}

#[tokio::test]
async fn a_taken_socket_is_an_error_that_names_it() {
    let listener = listen(Readiness::starting()).await;
    let (_stop, stopping) = watch::channel(false);
    let rejected = serve(listener.socket, routes(Readiness::starting()), stopping).await;
    let text = rejected.unwrap_err().to_string();
    assert!(text.contains(&listener.socket.to_string()), "{text}");
}
