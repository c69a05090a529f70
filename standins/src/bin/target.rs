//! A stand-in for a target with slots, a cold start, failures on demand and a log of all executions.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use clap::Parser;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    client::conn::http1 as client,
    header,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use standins::{Shared, listen, state};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use viz::{IntoResponse as _, RequestExt as _, ResponseExt as _, Router, types::State};

/// Stands in for a target.
#[derive(Parser, Clone)]
struct Args {
    /// Identifier of the target.
    #[arg(long)]
    id: String,
    /// Service of the target.
    #[arg(long)]
    service: String,
    /// Serve requests on this address.
    #[arg(long)]
    listen: SocketAddr,
    /// Serve the control endpoints on this address.
    #[arg(long)]
    control: SocketAddr,
    /// Announce to the local listener of this node; may be given several times, and the next one is used
    /// when the lease at the current one has expired.
    #[arg(long = "node", required = true)]
    nodes: Vec<String>,
    /// Concurrent requests when warm.
    #[arg(long, default_value_t = 7)]
    slots: u32,
    /// Concurrent connections; further ones are closed.
    #[arg(long, default_value_t = 330)]
    connections: u32,
    /// Lag of the load endpoint, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    load_lag_ms: u64,
    /// Concurrent requests when cold.
    #[arg(long, default_value_t = 2)]
    cold_slots: u32,
    /// Duration of a cold start from its first request, in milliseconds; 0 starts warm, and less than
    /// 1,000 counts as 1,000.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// Duration of a request, in milliseconds; eight times as long when cold.
    #[arg(long, default_value_t = 5)]
    work_ms: u64,
}

/// Behaviour of the target, as set over the control endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
struct Behaviour {
    /// `ok`, `slow`, `error` (status 500), `half` (the response breaks off), `hang` (the request runs and
    /// gets no response), `shed` (the request is refused as not run) or `dead` (connections are closed and
    /// only the control endpoints work).
    mode: String,
    /// Prefix of the paths to which the mode applies; `shed` and `dead` apply to all paths.
    prefix: String,
    /// Duration of a request in the mode `slow`, in milliseconds; eight times as long when cold.
    slow_ms: u64,
    /// Whether the health endpoint reports the target as healthy.
    healthy: bool,
    /// Whether the target announces that it is cold.
    announce_cold: bool,
    /// Whether the target announces that it is leaving.
    leaving: bool,
    /// Whether the target becomes cold when this behaviour is set.
    turn_cold: bool,
    /// Whether the target sends no announcements.
    silent: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            mode: "ok".to_owned(),
            prefix: String::new(),
            slow_ms: 2_000,
            healthy: true,
            announce_cold: true,
            leaving: false,
            turn_cold: false,
            silent: false,
        }
    }
}

/// A log entry for a request that the target ran.
#[derive(Debug, Clone, Serialize)]
struct Execution {
    attempt: String,
    organisation: String,
    method: String,
    path: String,
    tag: String,
    headers: Vec<(String, String)>,
    at_us: u64,
    target: String,
    finished: bool,
}

struct Target {
    args: Args,
    behaviour: Behaviour,
    log: Vec<Execution>,
    running: u32,
    /// Most concurrent requests so far.
    most_running: u32,
    /// Most concurrent requests so far while cold.
    most_cold: u32,
    /// End of the cold start, once its first request has arrived.
    cold_until: Option<Instant>,
    cold: bool,
    /// End of the time for which the target is down after a crash.
    down_until: Option<Instant>,
    crashes: u32,
    sheds: u32,
    connections: u32,
    /// Load at the load endpoint, which lags behind `running`.
    reported_load: u32,
}

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Time for which a target closes all connections that send a request, after it was overloaded while
/// cold.
const CRASH_DURATION: Duration = Duration::from_millis(1_500);

/// Interval between announcements to the node.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// Duration of the node's lease on the target, with a margin.
const LEASE_TERM: Duration = Duration::from_millis(2_500);

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let args = Args::parse();
    let target = Shared::new(Target {
        behaviour: Behaviour::default(),
        log: Vec::new(),
        running: 0,
        most_running: 0,
        most_cold: 0,
        cold_until: None,
        cold: args.cold_ms > 0,
        down_until: None,
        crashes: 0,
        sheds: 0,
        connections: 0,
        reported_load: 0,
        args: args.clone(),
    });
    let listener = TcpListener::bind(args.listen).await?;
    tokio::spawn(announce(target.clone()));
    tokio::spawn(update_reported_load(target.clone()));
    tokio::spawn(serve(target.clone(), listener));
    let router = Router::new()
        .post("/control", set_behaviour)
        .get("/log", get_log)
        .get("/stats", get_stats)
        .with(State::new(target));
    listen(args.control, router).await
}

async fn set_behaviour(mut request: viz::Request) -> viz::Result<viz::Response> {
    let target = state::<Target>(&request)?;
    let behaviour: Behaviour = request.json().await?;
    let mut target = target.lock();
    if behaviour.turn_cold {
        target.cold = true;
        target.cold_until = None;
    }
    target.behaviour = behaviour;
    Ok(viz::StatusCode::OK.into_response())
}

async fn get_log(request: viz::Request) -> viz::Result<viz::Response> {
    let target = state::<Target>(&request)?;
    let log = target.lock().log.clone();
    Ok(viz::Response::json(log)?)
}

async fn get_stats(request: viz::Request) -> viz::Result<viz::Response> {
    let target = state::<Target>(&request)?;
    let t = target.lock();
    Ok(viz::Response::json(serde_json::json!({
        "id": t.args.id,
        "executions": t.log.len(),
        "running": t.running,
        "most_running": t.most_running,
        "most_cold": t.most_cold,
        "cold": t.cold,
        "falls": t.crashes,
        "sheds": t.sheds,
    }))?)
}

/// Announces the target to one node and renews the lease there; changes to the next node only after the
/// lease has expired, so that no two nodes hold one.
async fn announce(target: Shared<Target>) {
    let nodes = target.lock().args.nodes.clone();
    let mut current = 0;
    let mut renewed = Instant::now();
    loop {
        if let Some(announcement) = new_announcement(&target) {
            if post_announcement(&nodes[current], announcement).await {
                renewed = Instant::now();
            } else if renewed.elapsed() >= LEASE_TERM {
                current = (current + 1) % nodes.len();
            }
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Returns the announcement as JSON, or `None` when the target is silent or dead.
fn new_announcement(target: &Shared<Target>) -> Option<String> {
    let t = target.lock();
    if t.behaviour.silent || t.behaviour.mode == "dead" {
        return None;
    }
    let announcement = serde_json::json!({
        "id": t.args.id,
        "service": t.args.service,
        "address": t.args.listen.to_string(),
        "slots": t.args.slots,
        "cold": t.cold && t.behaviour.announce_cold,
        "leaving": t.behaviour.leaving,
    });
    Some(announcement.to_string())
}

/// Posts an announcement and returns whether the node accepted it in time.
async fn post_announcement(node: &str, announcement: String) -> bool {
    let call = async {
        let stream = TcpStream::connect(node).await.ok()?;
        let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let request = Request::post("/v1/announce")
            .header(header::HOST, node)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(announcement)))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        Some(response.status().is_success())
    };
    timeout(ANNOUNCE_INTERVAL, call).await.ok().flatten() == Some(true)
}

async fn serve(target: Shared<Target>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let target = target.clone();
        if !admit_connection(&target) {
            continue;
        }
        let counted = target.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| respond(target.clone(), request));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            counted.lock().connections -= 1;
        });
    }
}

/// Counts a connection and returns true, unless there are too many or the target is dead.
fn admit_connection(target: &Shared<Target>) -> bool {
    let mut t = target.lock();
    let is_accepted = t.behaviour.mode != "dead" && t.connections < t.args.connections;
    t.connections += u32::from(is_accepted);
    is_accepted
}

/// Updates the reported load with a lag.
async fn update_reported_load(target: Shared<Target>) {
    let lag = Duration::from_millis(target.lock().args.load_lag_ms);
    loop {
        let running = target.lock().running;
        sleep(lag).await;
        target.lock().reported_load = running;
    }
}

fn text_response(status: StatusCode, content: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(content.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// A slot in use; dropping it frees the slot.
struct Slot(Shared<Target>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

async fn respond(
    target: Shared<Target>,
    request: Request<Incoming>,
) -> Result<Response<Body>, io::Error> {
    if request.uri().path() == "/health" {
        let healthy = target.lock().behaviour.healthy;
        let status = match healthy {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        return Ok(text_response(status, ""));
    }
    if request.uri().path() == "/load" {
        let load = target.lock().reported_load;
        return Ok(text_response(StatusCode::OK, load.to_string()));
    }
    let (index, slot) = match begin_execution(&target, &request) {
        Ok(begun) => begun,
        Err(refusal) => return refusal,
    };
    let (parts, body) = request.into_parts();
    let received = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let (mode, duration) = {
        let t = target.lock();
        let mode_applies = parts.uri.path().starts_with(&t.behaviour.prefix);
        let mode = if mode_applies {
            t.behaviour.mode.as_str()
        } else {
            "ok"
        };
        (mode.to_owned(), t.work_duration(mode))
    };
    sleep(duration).await;
    if let Some(execution) = target.lock().log.get_mut(index) {
        execution.finished = true;
    }
    let id = target.lock().args.id.clone();
    drop(slot);
    let dead = target.lock().behaviour.mode == "dead";
    match if dead { "dead" } else { mode.as_str() } {
        "error" => Ok(text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed")),
        "hang" => std::future::pending().await,
        "half" if query_parameter(&parts, "size").is_none() => Ok(truncated_response()),
        "half" => Ok(success_response(&parts, &id, received.len(), true)),
        "dead" => Err(io::Error::other("the target is dead")),
        _ => Ok(success_response(&parts, &id, received.len(), false)),
    }
}

impl Target {
    /// Returns the duration of a request in a mode; a cold target is slower.
    fn work_duration(&self, mode: &str) -> Duration {
        let millis = match mode {
            "slow" => self.behaviour.slow_ms,
            _ => self.args.work_ms,
        };
        let factor = if self.cold { 8 } else { 1 };
        Duration::from_millis(millis * factor)
    }
}

/// Takes a slot and logs the execution, or refuses the request: a dead or crashed target closes the
/// connection, a cold one crashes when its slots are exceeded, and a full or shedding one responds that
/// the request did not run.
#[expect(clippy::result_large_err)]
fn begin_execution(
    target: &Shared<Target>,
    request: &Request<Incoming>,
) -> Result<(usize, Slot), Result<Response<Body>, io::Error>> {
    let mut t = target.lock();
    let now = Instant::now();
    if t.cold_until.is_some_and(|at| now >= at) {
        t.cold = false;
        t.cold_until = None;
    }
    if t.cold && t.cold_until.is_none() {
        let duration = Duration::from_millis(t.args.cold_ms.max(1_000));
        t.cold_until = Some(now + duration);
    }
    if t.behaviour.mode == "dead" || t.down_until.is_some_and(|at| now < at) {
        return Err(Err(io::Error::other("the target is down")));
    }
    if t.cold && t.running >= t.args.cold_slots {
        t.crashes += 1;
        t.down_until = Some(now + CRASH_DURATION);
        return Err(Err(io::Error::other("the cold target is overloaded")));
    }
    if t.running >= t.args.slots || t.behaviour.mode == "shed" {
        t.sheds += 1;
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "full");
        let not_run = header::HeaderValue::from_static("1");
        response.headers_mut().insert("x-not-run", not_run);
        return Err(Ok(response));
    }
    t.running += 1;
    t.most_running = t.most_running.max(t.running);
    if t.cold {
        t.most_cold = t.most_cold.max(t.running);
    }
    let execution = new_execution(request, &t.args.id);
    t.log.push(execution);
    Ok((t.log.len() - 1, Slot(target.clone())))
}

/// Returns the log entry for a request that starts now.
fn new_execution(request: &Request<Incoming>, id: &str) -> Execution {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let text = |name: &str| {
        let value = request.headers().get(name);
        value.map_or_else(String::new, |v| {
            String::from_utf8_lossy(v.as_bytes()).into_owned()
        })
    };
    Execution {
        attempt: text("x-attempt"),
        organisation: text("x-organisation"),
        method: request.method().to_string(),
        path: request.uri().path().to_owned(),
        tag: text("x-tag"),
        headers: request
            .headers()
            .iter()
            .map(|(n, v)| {
                let value = String::from_utf8_lossy(v.as_bytes()).into_owned();
                (n.to_string(), value)
            })
            .collect(),
        at_us: u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX),
        target: id.to_owned(),
        finished: false,
    }
}

/// Returns a response whose body breaks off before the announced length.
fn truncated_response() -> Response<Body> {
    let frames = stream::iter([
        Ok(Frame::data(Bytes::from_static(b"half"))),
        Err(io::Error::other("the response breaks off")),
    ]);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let length = header::HeaderValue::from_static("1000");
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length);
    response
}

/// Returns the numeric value of a query parameter, if it has one.
fn query_parameter(parts: &hyper::http::request::Parts, name: &str) -> Option<u64> {
    let query = parts.uri.query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(n, _)| *n == name)
        .find_map(|(_, v)| v.parse().ok())
}

/// Responds with a line of JSON, or with `size` bytes of a pattern if the query has that parameter. A range
/// request gets the rest of the bytes; with `half` the response breaks off after half of them.
fn success_response(
    parts: &hyper::http::request::Parts,
    id: &str,
    received: usize,
    half: bool,
) -> Response<Body> {
    let Some(size) = query_parameter(parts, "size") else {
        let line = serde_json::json!({
            "target": id,
            "path": parts.uri.path(),
            "received": received,
            "tag": parts.headers.get("x-tag").and_then(|t| t.to_str().ok()),
        });
        return text_response(StatusCode::OK, line.to_string());
    };
    let pace = query_parameter(parts, "pace_ms").unwrap_or(0);
    let tag = format!("\"pattern-{size}\"");
    let range = range_start(parts, &tag, size);
    let start = range.unwrap_or(0);
    let end = if half { size.midpoint(start) } else { size };
    let mut response = pattern_response(start, end, pace);
    if parts.method == Method::HEAD {
        response = text_response(StatusCode::OK, "");
    }
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, (size - start).into());
    if let Ok(tag) = tag.parse() {
        headers.insert(header::ETAG, tag);
    }
    if range.is_some()
        && let Ok(range) = format!("bytes {start}-{}/{size}", size - 1).parse()
    {
        headers.insert(header::CONTENT_RANGE, range);
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
    response
}

/// Returns the first byte that a range request asks for, unless its condition names another entity tag.
fn range_start(parts: &hyper::http::request::Parts, tag: &str, size: u64) -> Option<u64> {
    let range = parts.headers.get(header::RANGE)?.to_str().ok()?;
    let condition = parts.headers.get(header::IF_RANGE);
    if condition.is_some_and(|c| *c != *tag) {
        return None;
    }
    let start = range.strip_prefix("bytes=")?.strip_suffix('-')?;
    start.parse().ok().filter(|s| *s < size)
}

/// Size of a frame of the pattern, in bytes.
const FRAME_SIZE: u64 = 16 << 10;

/// Streams the bytes from `start` to `end`, whose values follow from their positions, with `pace`
/// milliseconds before each frame.
fn pattern_response(start: u64, end: u64, pace: u64) -> Response<Body> {
    let frames = stream::unfold(start, move |position| async move {
        if position >= end {
            return None;
        }
        sleep(Duration::from_millis(pace)).await;
        let next = end.min(position + FRAME_SIZE);
        let frame: Vec<u8> = (position..next).map(|i| (i % 251) as u8).collect();
        Some((Ok(Frame::data(Bytes::from(frame))), next))
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
}
