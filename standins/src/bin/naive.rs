//! A naive proxy for comparison: random choice of a target, ejection after consecutive errors, a rate limit
//! divided by the number of nodes, retries whatever the method and the outcome, and no queue.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use clap::Parser;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1 as client,
    header::{HeaderName, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use rand::{rng, seq::IndexedRandom};
use standins::Shared;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Forwards requests from callers to targets.
#[derive(Parser, Clone)]
struct Args {
    /// Listen for callers on this address.
    #[arg(long)]
    callers: SocketAddr,
    /// Forward to this target, as SERVICE=ADDRESS; may be given several times.
    #[arg(long = "target", required = true)]
    targets: Vec<String>,
    /// Accept this key, as KEY=ORGANISATION; may be given several times.
    #[arg(long = "key")]
    keys: Vec<String>,
    /// Rate of each organisation over the whole fleet, in requests per second.
    #[arg(long, default_value_t = 1_000.0)]
    rate: f64,
    /// Burst of each organisation over the whole fleet, in requests.
    #[arg(long, default_value_t = 1_000.0)]
    burst: f64,
    /// Number of nodes in the fleet, by which rate and burst are divided.
    #[arg(long, default_value_t = 3.0)]
    nodes: f64,
    /// Serve requests to this service without a key; may be given several times.
    #[arg(long = "open")]
    open: Vec<String>,
}

#[derive(Clone)]
struct Target {
    service: String,
    address: String,
    /// Consecutive errors.
    errors: u32,
    ejected_until: Option<Instant>,
}

/// Token bucket of an organisation.
struct Bucket {
    tokens: f64,
    updated: Instant,
}

struct Proxy {
    args: Args,
    targets: Vec<Target>,
    buckets: HashMap<String, Bucket>,
}

/// Largest number of attempts of a request.
const ATTEMPTS: u32 = 3;
/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Consecutive errors after which a target is ejected.
const MAX_ERRORS: u32 = 5;
/// Duration of an ejection.
const EJECTION_TERM: Duration = Duration::from_secs(10);

type BufferedResponse = Response<Full<Bytes>>;

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let args = Args::parse();
    let targets = args
        .targets
        .iter()
        .filter_map(|t| t.split_once('='))
        .map(|(service, address)| Target {
            service: service.to_owned(),
            address: address.to_owned(),
            errors: 0,
            ejected_until: None,
        })
        .collect();
    let listener = TcpListener::bind(args.callers).await?;
    let proxy = Shared::new(Proxy {
        args,
        targets,
        buckets: HashMap::new(),
    });
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let proxy = proxy.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let proxy = proxy.clone();
                async move { Ok::<_, io::Error>(serve(&proxy, request).await) }
            });
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Returns an error response of the proxy itself.
fn refusal(status: StatusCode, code: &'static str) -> BufferedResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert("marjoramdyke-code", HeaderValue::from_static(code));
    headers.insert("marjoramdyke-outcome", HeaderValue::from_static("not-run"));
    response
}

/// Authenticates a request, applies the rate limit and forwards the request with retries.
async fn serve(proxy: &Shared<Proxy>, request: Request<Incoming>) -> BufferedResponse {
    let (mut parts, body) = request.into_parts();
    let service = parts.uri.path().split('/').nth(1).unwrap_or("").to_owned();
    if !proxy.lock().args.open.contains(&service) {
        let key = parts.headers.get("x-api-key").and_then(|k| k.to_str().ok());
        let Some(organisation) = proxy.lock().find_organisation(key.unwrap_or("")) else {
            return refusal(StatusCode::UNAUTHORIZED, "wrong-key");
        };
        if !proxy.lock().take_token(&organisation) {
            return refusal(StatusCode::TOO_MANY_REQUESTS, "rate-spent");
        }
        if let Ok(value) = organisation.parse() {
            parts
                .headers
                .insert(HeaderName::from_static("x-organisation"), value);
        }
    }
    let Ok(body) = body.collect().await else {
        return refusal(StatusCode::BAD_REQUEST, "bad-request");
    };
    let body = body.to_bytes();
    for _ in 0..ATTEMPTS {
        let Some(address) = proxy.lock().choose_target(&service) else {
            break;
        };
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = parts.uri.clone();
        *request.headers_mut() = parts.headers.clone();
        let response = timeout(ATTEMPT_TIMEOUT, send_attempt(&address, request)).await;
        let response = response.ok().and_then(Result::ok);
        let succeeded = response
            .as_ref()
            .is_some_and(|r| !r.status().is_server_error());
        proxy.lock().record_result(&address, succeeded);
        if succeeded && let Some(response) = response {
            return response;
        }
    }
    refusal(StatusCode::SERVICE_UNAVAILABLE, "no-target")
}

/// Sends one attempt to a target and buffers the response.
async fn send_attempt(
    address: &str,
    request: Request<Full<Bytes>>,
) -> io::Result<BufferedResponse> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    let response = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let mut response = Response::from_parts(parts, Full::new(body));
    let ran = HeaderValue::from_static("ran");
    response.headers_mut().insert("marjoramdyke-outcome", ran);
    Ok(response)
}

impl Proxy {
    /// Returns the organisation to which a key belongs.
    fn find_organisation(&self, key: &str) -> Option<String> {
        let pairs = self.args.keys.iter().filter_map(|k| k.split_once('='));
        let mut matching = pairs.filter(|(k, _)| *k == key);
        matching
            .next()
            .map(|(_, organisation)| organisation.to_owned())
    }

    /// Takes a token from an organisation's bucket and returns whether there was one.
    fn take_token(&mut self, organisation: &str) -> bool {
        let (rate, burst) = (
            self.args.rate / self.args.nodes,
            (self.args.burst / self.args.nodes).max(1.0),
        );
        let now = Instant::now();
        let bucket = self
            .buckets
            .entry(organisation.to_owned())
            .or_insert(Bucket {
                tokens: burst,
                updated: now,
            });
        let elapsed = (now - bucket.updated).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(burst);
        bucket.updated = now;
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }

    /// Chooses at random one of the targets of a service that are not ejected.
    fn choose_target(&self, service: &str) -> Option<String> {
        let now = Instant::now();
        let candidates: Vec<&Target> = self
            .targets
            .iter()
            .filter(|t| t.service == service && t.ejected_until.is_none_or(|at| now >= at))
            .collect();
        candidates.choose(&mut rng()).map(|t| t.address.clone())
    }

    /// Counts consecutive errors of a target and ejects it when there are too many.
    fn record_result(&mut self, address: &str, succeeded: bool) {
        let target = self.targets.iter_mut().find(|t| t.address == address);
        let Some(target) = target else { return };
        target.errors = if succeeded { 0 } else { target.errors + 1 };
        if target.errors >= MAX_ERRORS {
            target.errors = 0;
            target.ejected_until = Some(Instant::now() + EJECTION_TERM);
        }
    }
}
