//! A target that states something about itself in its answers and records when requests
//! arrive.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;

use crate::client;

/// Header of a request that names its caller, for [`Arrival::caller`].
pub const CALLER_HEADER: &str = "x-caller";

/// Header of a request that says how long it runs, in milliseconds.
pub const RUN_TIME_HEADER: &str = "x-sleep-ms";

/// A request that reached the target.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// The caller that the request names.
    pub caller: String,
}

type Statements = Vec<(HeaderName, HeaderValue)>;

/// The target; clones share it.
#[derive(Debug, Clone)]
pub struct StatingTarget {
    address: SocketAddr,
    statements: Arc<Mutex<Statements>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl StatingTarget {
    /// Starts a target that states nothing yet.
    pub async fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Self {
            address: listener.local_addr()?,
            statements: Arc::default(),
            arrivals: Arc::default(),
        };
        let server = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move {
                    let service = service_fn(|request| server.serve(request));
                    let stream = TokioIo::new(stream);
                    // An error means that the node has closed the connection.
                    let _ = http1::Builder::new()
                        .serve_connection(stream, service)
                        .await;
                });
            }
        });
        Ok(target)
    }

    /// Sets the headers of the answers that end from now on.
    pub fn state(&self, statements: &[(&'static str, &'static str)]) {
        let statements = statements
            .iter()
            .map(|(name, value)| {
                let name = HeaderName::from_static(name);
                (name, HeaderValue::from_static(value))
            })
            .collect();
        *lock(&self.statements) = statements;
    }

    /// Announces the target to a node, with six slots.
    pub async fn announce(&self, admin: SocketAddr, service: &str, sequence: u64) -> Result<()> {
        let body = json!({
            "service": service,
            "address": self.address,
            "slots": 6,
            "instance": format!("i-{}", self.address.port()),
            "incarnation": 1,
            "sequence": sequence,
        });
        client::post(admin, "/v1/targets", &body.to_string()).await?;
        Ok(())
    }

    /// Returns the requests that have arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    async fn serve(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let text = |name: &str| {
            let value = request.headers().get(name);
            value.and_then(|value| value.to_str().ok())
        };
        lock(&self.arrivals).push(Arrival {
            at: Instant::now(),
            caller: text(CALLER_HEADER).unwrap_or_default().to_owned(),
        });
        let run_time = text(RUN_TIME_HEADER).and_then(|value| value.parse().ok());
        tokio::time::sleep(Duration::from_millis(run_time.unwrap_or(0))).await;
        let mut response = Response::new(Full::new(Bytes::from_static(b"ok")));
        for (name, value) in lock(&self.statements).iter() {
            response.headers_mut().insert(name, value.clone());
        }
        Ok(response)
    }
}

/// Returns the greatest number of requests that arrived within `window`.
pub fn most_within(arrivals: &[Arrival], window: Duration) -> usize {
    let count_from = |first: &Arrival| {
        arrivals
            .iter()
            .filter(|arrival| arrival.at >= first.at && arrival.at < first.at + window)
            .count()
    };
    arrivals.iter().map(count_from).max().unwrap_or(0)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
