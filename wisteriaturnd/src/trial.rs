//! A demo: one node with an in-memory log, a sample target, and one request that
//! passes through both.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, eyre};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use wisteriaturn::clock::SystemClock;

use crate::control::start;
use crate::http::body::{NodeBody, full};
use crate::http::exchange::{self, ExchangeError};
use crate::http::pool::ConnectionPool;
use crate::lifecycle::RunningNode;
use crate::node::NodeBuilder;
use crate::settings::NodeSettings;
use crate::stream::memory::memory_log;

/// Settings of the demo node, in TOML.
pub const TRIAL_SETTINGS: &str = r#"
region = "trial"
data_centre = "trial-1"
mesh_secrets = ["a secret for the trial only"]

[listen]
ingress = "127.0.0.1:7080"
admin = "127.0.0.1:7081"
hop = "127.0.0.1:7082"
peer = "127.0.0.1:7083"

[log]
address = "127.0.0.1:7084"
"#;

/// The change that configures the service and the route of the sample target.
const TRIAL_CHANGE: &str = r#"{
  "author": "trial",
  "operations": [
    {"put": {"kind": "service", "name": "hello", "permit": ["127.0.0.0/8"]}},
    {"put": {"kind": "route", "name": "hello", "path": "/", "services": [{"service": "hello"}]}}
  ]
}"#;

/// Interval at which the sample target is announced.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);

/// Runs the demo until `stop_signal` completes.
///
/// # Errors
///
/// Returns an error if the node does not start, or if it rejects the change.
pub async fn run<S>(settings: NodeSettings, stop_signal: S) -> Result<()>
where
    S: Future<Output = ()>,
{
    let (ingress, admin) = (settings.ingress, settings.admin);
    let builder = NodeBuilder::new(settings, Arc::new(SystemClock), memory_log());
    let running = RunningNode::start(builder).await?;
    start::wait_ready(&running.node).await;
    let pool = ConnectionPool::for_targets(Arc::new(SystemClock));
    send_request(&pool, admin, Method::POST, "/v1/changes", TRIAL_CHANGE).await?;
    let target = start_target().await?;
    tokio::spawn(announce_task(pool.clone(), admin, target));
    let answer = loop {
        match send_request(&pool, ingress, Method::GET, "/", "").await {
            Ok(answer) => break answer,
            // The change may be in force before the target is announced.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    println!(
        "trial: GET http://{ingress}/ was answered: {}",
        answer.trim_end()
    );
    println!("trial: the resource API listens on http://{admin}; end with Ctrl-C");
    stop_signal.await;
    running.stop().await;
    Ok(())
}

async fn announce_task(pool: ConnectionPool, admin: SocketAddr, target: SocketAddr) {
    let announcement = format!(r#"{{"service":"hello","address":"{target}","slots":6}}"#);
    loop {
        let _ = send_request(&pool, admin, Method::POST, "/v1/targets", &announcement).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Starts the sample target and returns its address.
async fn start_target() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(hello);
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(served);
        }
    });
    Ok(address)
}

async fn hello(request: Request<Incoming>) -> Result<Response<NodeBody>, Infallible> {
    let text = format!(
        "hello from the target: {} {}\n",
        request.method(),
        request.uri()
    );
    Ok(Response::new(full(Bytes::from(text))))
}

/// Sends one request and returns the body of the answer, or an error unless the
/// status is a success.
async fn send_request(
    pool: &ConnectionPool,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<String> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, address.to_string())
        .body(full(Bytes::copy_from_slice(body.as_bytes())))?;
    let mut connection = pool.acquire(address).await?;
    let response = match exchange::send(&mut connection, request).await {
        Ok(response) => response,
        Err(ExchangeError::Unsent(_)) => return Err(eyre!("connection closed")),
        Err(ExchangeError::Lost(error)) => return Err(error.into()),
    };
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(eyre!("{status}: {text}"))
    }
}
