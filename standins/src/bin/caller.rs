//! A stand-in for callers: sends requests in an open loop and measures the latency of each from the time
//! at which it should have been sent.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use clap::Parser;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Incoming, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::{
    net::TcpStream,
    time::{sleep_until, timeout},
};

/// Sends requests at a rate and prints their outcomes and latencies as JSON.
#[derive(Parser, Clone)]
struct Args {
    /// Send to this node; may be given several times, and each request goes to a random one.
    #[arg(long = "to", required = true)]
    to: Vec<String>,
    /// Request this path; may be given several times, and the paths are used in turn.
    #[arg(long = "path", default_value = "/")]
    paths: Vec<String>,
    /// Send this Host header.
    #[arg(long, default_value = "localhost")]
    host: String,
    /// Use this method.
    #[arg(long, default_value = "GET")]
    method: String,
    /// Send the key from this environment variable.
    #[arg(long)]
    key_variable: Option<String>,
    /// Mean rate in requests per second; the times between requests are exponentially distributed.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// Seconds for which requests are sent.
    #[arg(long, default_value_t = 1.0)]
    seconds: f64,
    /// Seed of the times between requests and of the choice of nodes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Size of each body in bytes.
    #[arg(long, default_value_t = 0)]
    body: usize,
    /// Delay before each request is sent and again after its response, in milliseconds.
    #[arg(long, default_value_t = 0)]
    away_ms: u64,
}

#[derive(Default)]
struct Results {
    /// Number of requests by status, code and outcome, or by the error.
    kinds: BTreeMap<String, u64>,
    /// Latencies of successful requests in microseconds.
    latencies: Vec<u64>,
}

/// Idle connections with the index of their node.
type Pool = Arc<Mutex<Vec<(usize, http1::SendRequest<Full<Bytes>>)>>>;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let args = Args::parse();
    let mut rng = StdRng::seed_from_u64(args.seed);
    let results: Arc<Mutex<Results>> = Arc::default();
    let pool = Pool::default();
    let started = Instant::now();
    let mut offset = 0.0;
    let mut tasks = Vec::new();
    let mut number = 0;
    while offset < args.seconds {
        let intended = started + Duration::from_secs_f64(offset);
        sleep_until(intended.into()).await;
        let node = rng.random_range(0..args.to.len());
        let path = args.paths[number % args.paths.len()].clone();
        let request = PlannedRequest {
            args: args.clone(),
            node,
            path,
            tag: format!("{}-{number}", args.seed),
            intended,
        };
        tasks.push(tokio::spawn(run_request(
            request,
            pool.clone(),
            results.clone(),
        )));
        number += 1;
        let uniform: f64 = rng.random();
        offset += -(1.0 - uniform).ln() / args.rate;
    }
    for task in tasks {
        let _ = task.await;
    }
    print_results(&results);
    Ok(())
}

/// A request and the time at which it should be sent.
struct PlannedRequest {
    args: Args,
    node: usize,
    path: String,
    tag: String,
    intended: Instant,
}

/// Sends one request and records its result.
async fn run_request(planned: PlannedRequest, pool: Pool, results: Arc<Mutex<Results>>) {
    let delay = Duration::from_millis(planned.args.away_ms);
    tokio::time::sleep(delay).await;
    let kind = match timeout(REQUEST_TIMEOUT, send(&planned, &pool)).await {
        Ok(Ok(kind)) => kind,
        Ok(Err(error)) => format!("broken: {error}"),
        Err(_) => "no answer".to_owned(),
    };
    tokio::time::sleep(delay).await;
    let latency = planned.intended.elapsed();
    let Ok(mut results) = results.lock() else {
        return;
    };
    if kind.starts_with("200") {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        results.latencies.push(micros);
    }
    *results.kinds.entry(kind).or_default() += 1;
}

async fn connect(address: &str) -> io::Result<http1::SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Takes an idle connection to a node from the pool.
fn take_idle(pool: &Pool, node: usize) -> Option<http1::SendRequest<Full<Bytes>>> {
    let mut pool = pool.lock().ok()?;
    pool.retain(|(_, s)| !s.is_closed());
    let i = pool.iter().position(|(n, s)| *n == node && s.is_ready())?;
    Some(pool.swap_remove(i).1)
}

/// Sends a request over an idle connection, or a new one if there is none, and returns the kind of its
/// result.
async fn send(planned: &PlannedRequest, pool: &Pool) -> io::Result<String> {
    let mut sender = match take_idle(pool, planned.node) {
        Some(sender) => sender,
        None => connect(&planned.args.to[planned.node]).await?,
    };
    let method: Method = planned.args.method.parse().map_err(io::Error::other)?;
    let mut request = Request::builder()
        .method(method)
        .uri(&planned.path)
        .header(header::HOST, &planned.args.host)
        .header("x-tag", &planned.tag);
    if let Some(name) = &planned.args.key_variable {
        request = request.header("x-api-key", std::env::var(name).unwrap_or_default());
    }
    let body = Full::new(Bytes::from(vec![b'x'; planned.args.body]));
    let request = request.body(body).map_err(io::Error::other)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    let kind = describe_kind(&response);
    response
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    if sender.ready().await.is_ok()
        && let Ok(mut pool) = pool.lock()
    {
        pool.push((planned.node, sender));
    }
    Ok(kind)
}

/// Returns the status, code and outcome of a response, separated by spaces.
fn describe_kind(response: &hyper::Response<Incoming>) -> String {
    let text = |name| {
        let value = response.headers().get(name);
        value
            .and_then(|v: &header::HeaderValue| v.to_str().ok())
            .unwrap_or("-")
            .to_owned()
    };
    format!(
        "{} {} {}",
        response.status().as_u16(),
        text("marjoramdyke-code"),
        text("marjoramdyke-outcome")
    )
}

/// Prints counts and quantiles of the latencies as JSON.
fn print_results(results: &Arc<Mutex<Results>>) {
    let Ok(results) = results.lock() else { return };
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return;
    };
    for latency in &results.latencies {
        // The timeout bounds latencies, so that none is beyond the range of the histogram.
        let _ = histogram.record(*latency);
    }
    let total: u64 = results.kinds.values().sum();
    println!(
        "{}",
        json!({
            "total": total,
            "kinds": results.kinds,
            "p50_us": histogram.value_at_quantile(0.5),
            "p99_us": histogram.value_at_quantile(0.99),
            "max_us": histogram.max(),
        })
    );
}
