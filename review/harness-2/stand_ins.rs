//! Stand-ins for the platform's store, for backends and for clients, and the node processes that they surround.
//!
//! Only the standard library is used, so that the harness builds without a network.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Most bytes of rows in one response of the store, and most rows (PROTOCOL.md, the platform's metadata store). Only the
/// rows' values are counted, which is the most that a page may be read to allow.
const PAGE_BYTES: usize = 1_000_000;
const PAGE_ROWS: usize = 500;

/// How often a backend sends a heartbeat (`heartbeat_s`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The record of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create() -> Arc<Self> {
        let path = std::env::var("RECORD").expect("RECORD names the record's file");
        let file = File::create(path).expect("the record can be written");
        Arc::new(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: &str) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} {line}");
        now
    }
}

/// A message of HTTP/1.1: its first line, headers with lower-case names, and body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u32 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn malformed() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// Reads a message, `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(malformed());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(malformed)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| malformed())?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Ok(length) = message.header("content-length").parse() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends a request over a new connection, and returns the complete response.
pub fn call(address: SocketAddr, head: &str, body: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    let request = format!("{head}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    stream.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(malformed)
}

/// Serves each connection to an address in a thread of its own.
fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all((head + body).as_bytes())
}

#[derive(Default)]
struct Rows {
    /// Value in base64 and version, by table and key.
    stored: BTreeMap<(String, String), (String, u64)>,
    version: u64,
}

/// The platform's store of rows. All rows are in the part "".
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<Rows>>);

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        let served = store.clone();
        serve(address, move |stream| {
            let _ = served.serve_connection(stream);
        });
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        self.put_encoded(table, key, encode_base64(content.as_bytes()));
    }

    fn put_encoded(&self, table: &str, key: &str, value: String) {
        let mut rows = self.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.stored
            .insert((table.to_owned(), key.to_owned()), (value, version));
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let path = request.path().to_owned();
            let (status, body) = match path.split_once('?') {
                Some(("/v1/rows-get", query)) => ("200 OK", self.get_rows(query)),
                None if path == "/v1/rows-tx" => self.apply(&request.body),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            respond(
                &mut stream,
                status,
                "Content-Type: application/json\r\n",
                &body,
            )?;
        }
        Ok(())
    }

    fn get_rows(&self, query: &str) -> String {
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let value = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next();
            value.unwrap_or("").replace("%00", "\0")
        };
        let (table, from, target) = (parameter("table"), parameter("from"), parameter("target"));
        let rows = self.0.lock().unwrap();
        let in_range = rows
            .stored
            .iter()
            .filter(|((t, k), _)| *t == table && *k >= from && (target.is_empty() || *k < target));
        let (mut page, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for ((table, key), (value, ver)) in in_range {
            let size = value.len() / 4 * 3;
            if page.len() == PAGE_ROWS || (!page.is_empty() && bytes + size > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += size;
            if bytes > PAGE_BYTES {
                // A row that alone is larger than a page is returned, but nothing with it.
                bytes = PAGE_BYTES;
            }
            page.push(format!(
                r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#
            ));
        }
        let (page, ver) = (page.join(","), rows.version);
        format!(r#"{{"rows":[{page}],"has_more":{has_more},"ver":{ver},"now_s":1.0}}"#)
    }

    /// Applies a transaction. Nodes only write their own rows, each in one put without conditions.
    fn apply(&self, body: &[u8]) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body);
        let field = |part: &str, name: &str| {
            let start = part.find(&format!("\"{name}\":\""))? + name.len() + 4;
            let end = part[start..].find('"')? + start;
            Some(part[start..end].to_owned())
        };
        let puts = text.split("\"puts\":[").nth(1).unwrap_or("");
        for put in puts.split('{').skip(1) {
            let parts = (field(put, "table"), field(put, "key"), field(put, "value"));
            if let (Some(table), Some(key), Some(value)) = parts {
                self.put_encoded(&table, &key, value);
            }
        }
        let ver = self.0.lock().unwrap().version;
        ("200 OK", format!(r#"{{"ver":{ver},"now_s":1.0}}"#))
    }
}

fn encode_base64(content: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(content.len() * 4 / 3 + 4);
    for part in content.chunks(3) {
        let mut bits = 0_usize;
        for i in 0..3 {
            bits = bits << 8 | usize::from(*part.get(i).unwrap_or(&0));
        }
        for i in 0..4 {
            let digit = DIGITS[bits >> (18 - 6 * i) & 63] as char;
            out.push(if i <= part.len() { digit } else { '=' });
        }
    }
    out
}

/// A request that a backend ran, or gave up.
#[derive(Clone)]
pub struct Run {
    /// When, in seconds since the start.
    pub at: f64,
    pub backend: String,
    pub attempt: String,
}

/// A backend beside a node. It runs each request for a while and answers it; it answers 421 to a request that is meant for
/// another instance.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    /// Its start, in Unix milliseconds.
    pub born: u64,
    /// How long it works on a request, in milliseconds.
    work: AtomicU64,
    sequence: AtomicU64,
    beating: AtomicBool,
    ended: AtomicBool,
    /// Size of its answers, 0 for a short text.
    size: AtomicUsize,
    runs: Arc<Mutex<Vec<Run>>>,
    drops: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
}

impl Backend {
    /// Starts a backend, which sends heartbeats until [`Backend::stop_beating`].
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        (address, admin): (SocketAddr, SocketAddr),
        work: Duration,
        (runs, drops): (&Arc<Mutex<Vec<Run>>>, &Arc<Mutex<Vec<Run>>>),
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            admin,
            born: unix_millis(),
            work: AtomicU64::new(u64::try_from(work.as_millis()).unwrap_or(0)),
            sequence: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            size: AtomicUsize::new(0),
            runs: Arc::clone(runs),
            drops: Arc::clone(drops),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&backend);
        serve(address, move |stream| {
            let _ = served.serve_connection(stream);
        });
        let beating = Arc::clone(&backend);
        thread::spawn(move || {
            while beating.beating.load(SeqCst) {
                let beat = beating.next_beat("ready");
                let _ = beating.send_beat(&beat);
                thread::sleep(HEARTBEAT);
            }
        });
        backend
    }

    pub fn stop_beating(&self) {
        self.beating.store(false, SeqCst);
    }

    /// Sets how long the backend works on requests that arrive from now on.
    pub fn set_work(&self, work: Duration) {
        self.work
            .store(u64::try_from(work.as_millis()).unwrap_or(0), SeqCst);
    }

    /// Makes the backend answer with this many bytes.
    pub fn answer_with(&self, size: usize) {
        self.size.store(size, SeqCst);
    }

    /// Works on a request, and returns false if the connection ends meanwhile, as most backends do.
    fn work(&self, stream: &TcpStream) -> io::Result<bool> {
        let end = Instant::now() + Duration::from_millis(self.work.load(SeqCst));
        stream.set_nonblocking(true)?;
        let mut is_open = true;
        while is_open && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(20)));
            is_open = match stream.peek(&mut [0]) {
                Ok(read) => read > 0,
                Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            };
        }
        stream.set_nonblocking(false)?;
        Ok(is_open)
    }

    /// Ends the backend: it accepts nothing more, and what it runs gets no answer.
    pub fn end(&self) {
        self.ended.store(true, SeqCst);
    }

    /// Returns the body of the next heartbeat.
    pub fn next_beat(&self, state: &str) -> String {
        let (service, address, zone) = (&self.service, self.address, &self.zone);
        let (seq, born) = (self.sequence.fetch_add(1, SeqCst) + 1, self.born);
        format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":7,"state":"{state}","cold_left_s":0,"seq":{seq},"born":{born}}}"#
        )
    }

    /// Sends a heartbeat to the node of this machine, and returns the status of the response.
    pub fn send_beat(&self, beat: &str) -> io::Result<u32> {
        let (id, admin) = (&self.id, self.admin);
        let head = format!(
            "PUT /v1/instances/{id} HTTP/1.1\r\nHost: {admin}\r\nContent-Type: application/json"
        );
        Ok(call(admin, &head, beat, Duration::from_secs(1))?.status())
    }

    /// Sends the call by which the backend leaves, and returns the status of the response.
    pub fn send_leave(&self) -> io::Result<u32> {
        let (id, admin) = (&self.id, self.admin);
        let head = format!("DELETE /v1/instances/{id} HTTP/1.1\r\nHost: {admin}");
        Ok(call(admin, &head, "", Duration::from_secs(1))?.status())
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let id = &self.id;
            if self.ended.load(SeqCst) {
                return Ok(());
            }
            let instance = format!("Instance-Id: {id}\r\n");
            if request.path() == "/healthz" {
                respond(&mut stream, "200 OK", &instance, "")?;
                continue;
            }
            let attempt = request.header("attempt-id").to_owned();
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != id {
                let line = format!("backend {id} answers 421 to {attempt}, meant for {expected}");
                self.record.write(&line);
                respond(&mut stream, "421 Misdirected Request", &instance, "")?;
                continue;
            }
            let at = self
                .record
                .write(&format!("backend {id} runs {attempt} {}", request.path()));
            let run = Run {
                at,
                backend: id.clone(),
                attempt: attempt.clone(),
            };
            self.runs.lock().unwrap().push(run);
            if !self.work(&stream)? {
                let line = format!("backend {id} drops {attempt}, since its connection has ended");
                let at = self.record.write(&line);
                self.drops.lock().unwrap().push(Run {
                    at,
                    backend: id.clone(),
                    attempt,
                });
                return Ok(());
            }
            if self.ended.load(SeqCst) {
                self.record
                    .write(&format!("backend {id} has ended, and {attempt} is lost"));
                return Ok(());
            }
            let headers =
                format!("Attempt-Id: {attempt}\r\nServer-Stamp: stamp.{id}.{attempt}\r\n");
            let body = match self.size.load(SeqCst) {
                0 => "the backend's bytes".to_owned(),
                size => "x".repeat(size),
            };
            respond(&mut stream, "200 OK", &headers, &body)?;
        }
        Ok(())
    }
}

pub fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock after 1970");
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// A node process and its addresses, with the settings that deploy/node.jsonc gives it.
pub struct Node {
    pub zone: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub target: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

impl Node {
    pub fn is_ready(&self) -> bool {
        let head = format!("GET /v1/readyz HTTP/1.1\r\nHost: {}", self.ready);
        let response = call(self.ready, &head, "", Duration::from_secs(1));
        response.is_ok_and(|r| r.status() == 200)
    }

    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let program = std::env::var("NODE").expect("NODE names the node's program");
        let process = Command::new(program)
            .env("MARJORAMDYKE_NODE_FILE", &self.settings)
            .env("MARJORAMDYKE_SECRET", "replace this secret of the fleet")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        *self.process.lock().unwrap() = Some(process.expect("the node starts"));
    }

    /// Asks the process to stop, with SIGTERM.
    pub fn send_term(&self) {
        if let Some(process) = &*self.process.lock().unwrap() {
            let _ = Command::new("kill")
                .args(["-TERM", &process.id().to_string()])
                .status();
        }
    }

    /// Waits until the process has ended, or ends it with SIGKILL after a time.
    pub fn await_end(&self, limit: Duration) {
        let ended = || match &mut *self.process.lock().unwrap() {
            Some(process) => process.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        };
        await_true(limit, ended);
        self.kill();
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: a store, and one or more nodes in each of three zones.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Requests that a backend gave up, since their connection ended, and when.
    pub drops: Arc<Mutex<Vec<Run>>>,
}

pub const ZONES: [&str; 3] = ["kochi-a", "kochi-b", "kochi-c"];

impl Fleet {
    /// Starts a store with a configuration, and nodes that host backends of one service; node I is in zone I modulo 3.
    pub fn start(service: &str, count: usize, configuration: &str) -> Self {
        let record = Record::create();
        let folder = PathBuf::from(std::env::var("WORK").expect("WORK names a folder"));
        let net = free_net();
        let address = |host: usize, port: u16| -> SocketAddr {
            format!("{net}.{host}:{port}").parse().expect("an address")
        };
        let platform = address(2, 8_545);
        let store = Store::start(platform);
        store.put("op", "config", configuration);
        let mut nodes = Vec::new();
        for i in 0..count {
            let host = 10 + i;
            let (zone, settings) = (ZONES[i % 3], folder.join(format!("node-{i}.jsonc")));
            let centres = ZONES.map(|z| format!("\"{z}\"")).join(",");
            let content = format!(
                r#"{{
  "fleet": "{}", "local": "{}", "callers": "{}", "ready": "{}", "announcements": "{}", "target": "{}",
  "service": "{service}", "data_centre": "{zone}", "data_centres": [{centres}], "platform": "{platform}",
  "grace_s": 6, "floor": 0.7, "retry_share": 0.2, "retry_slack": 56, "cold_overage": 1.5, "cold_slack": 5,
  "quota_slack": 20, "quota_overage": 0.1, "quota_window_s": 5, "change_s": 2, "memory_mb": 260,
  "features": ["base","drain","config","cost","retry","recover","health","tenants","quota","places","platform"],
  "peers": [], "idle_s": 30
}}"#,
                address(host, 7_000),
                address(host, 7_001),
                address(host, 8_548),
                address(host, 8_546),
                address(host, 8_540),
                address(host, 8_547),
            );
            fs::write(&settings, content).expect("the settings can be written");
            nodes.push(Node {
                zone: zone.to_owned(),
                outbound: address(host, 8_548),
                ready: address(host, 8_546),
                admin: address(host, 8_540),
                target: address(host, 8_547),
                settings,
                log: folder.join(format!("node-{i}.log")),
                process: Mutex::default(),
            });
        }
        let fleet = Self {
            record,
            store,
            nodes,
            runs: Arc::default(),
            drops: Arc::default(),
        };
        for node in &fleet.nodes {
            node.start();
        }
        fleet
    }

    /// Starts the backend beside a node.
    pub fn start_backend(&self, index: usize, service: &str, work: Duration) -> Arc<Backend> {
        let node = &self.nodes[index];
        let id = format!("i-{index}");
        Backend::start(
            (&id, service, &node.zone),
            (node.target, node.admin),
            work,
            (&self.runs, &self.drops),
            &self.record,
        )
    }

    /// Waits until all nodes are ready, and returns whether they are in time.
    pub fn await_ready(&self, limit: Duration) -> bool {
        await_true(limit, || self.nodes.iter().all(Node::is_ready))
    }
}

/// Waits until a condition holds, and returns whether it does in time.
pub fn await_true(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the first three octets of loopback addresses at which nothing listens.
fn free_net() -> String {
    let process = std::process::id();
    for attempt in 0..200 {
        let number = process.wrapping_add(attempt * 61);
        let net = format!("127.{}.{}", 60 + number % 60, 1 + number / 60 % 250);
        let free = |host: u32, port: u32| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok();
        if free(2, 8_545) && (10..20).all(|h| free(h, 7_000) && free(h, 8_548)) {
            return net;
        }
    }
    panic!("no free loopback addresses");
}

/// Sends a request of a client to its machine's node, and returns the status of the response, 0 if there is none.
pub fn send_request(
    record: &Record,
    node: &Node,
    (path, id): (&str, &str),
    limit: Duration,
) -> u32 {
    send(record, node, "GET", (path, id), limit)
}

/// Sends an order, which must not run twice, like [`send_request`].
pub fn send_order(record: &Record, node: &Node, (path, id): (&str, &str), limit: Duration) -> u32 {
    send(record, node, "POST", (path, id), limit)
}

fn send(
    record: &Record,
    node: &Node,
    method: &str,
    (path, id): (&str, &str),
    limit: Duration,
) -> u32 {
    let (zone, millis) = (&node.zone, limit.as_millis());
    record.write(&format!("client in {zone} sends {id} {path}"));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {millis}"
    );
    let response = call(node.outbound, &head, "", limit + Duration::from_millis(500));
    let (status, from) = match &response {
        Ok(r) => (r.status(), r.header("server-stamp").to_owned()),
        Err(_) => (0, String::new()),
    };
    record.write(&format!("client in {zone} gets {status} for {id} {from}"));
    status
}

/// Returns a configuration in which requests to shop.example below /read/ go to a service.
///
/// The routes give requests 12 s or, as the sheet's slowest kind of request has, 15 s; 8 s for downloads, 4 s for orders.
pub fn configuration(
    version: u32,
    service: &str,
    (kind, attempts): (&str, u32),
    further_routes: usize,
) -> String {
    let (timeout_s, slo_s) = match kind {
        "idempotent" => (12, 6),
        "download" => (8, 2),
        "status" => (15, 8),
        _ => (4, 2),
    };
    let kind = if kind == "status" { "idempotent" } else { kind };
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"entry_type":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"shop.example","prefix":"{prefix}","type":"{kind}","timeout_s":{timeout_s},"slo_s":{slo_s},"priority":2,"service":"{service}","attempts":{attempts},"public":true}}}}"#
        )
    };
    let mut resources = vec![route("r-read", "/read/")];
    resources.extend((0..further_routes).map(|i| route(&format!("r-x{i}"), &format!("/x{i}/"))));
    resources.push(format!(
        r#"{{"entry_type":"services","metadata":{{"name":"{service}"}},"spec":{{"health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":19.0}}}}"#
    ));
    resources.push(
        r#"{"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#.to_owned(),
    );
    let resources = resources.join(",");
    format!(r#"{{"version":"{version:08x}","resources":[{resources}]}}"#)
}
