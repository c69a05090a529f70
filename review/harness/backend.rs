//! A stand-in for an application's backend: slots, a queue, heartbeats to the node beside it.

use std::{
    io::{self, BufReader},
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::web::{Message, call, read_message, serve, write_message};

/// Requests that run at once, and that wait besides.
const SLOTS: usize = 7;
const QUEUE: usize = 72;
/// Duration of the work of a request for `/brief/`.
const BRIEF_MS: u64 = 60;

/// What became of a request that reached a backend.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    Running,
    Answered,
    /// The connection closed before the answer was sent, so the backend dropped the request.
    Dropped,
    /// The backend ended while it ran.
    Lost,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub backend: String,
    pub fate: Fate,
}

pub struct Backend {
    pub id: String,
    pub address: String,
    /// Address for heartbeats.
    pub admin: String,
    pub service: String,
    pub zone: String,
    /// Duration of the work of a request, except those for `/brief/`, when warm.
    pub work_ms: AtomicU64,
    /// Until when the backend is cold; it then takes twice as long.
    cold_until: Mutex<Instant>,
    born_ms: u128,
    seq: AtomicU64,
    beats: AtomicBool,
    ended: AtomicBool,
    running: Mutex<usize>,
    waiting: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
    /// Health checks received.
    pub checks: AtomicUsize,
}

impl Backend {
    pub fn start(
        id: &str,
        ip: &str,
        service: &str,
        zone: &str,
        work_ms: u64,
    ) -> io::Result<Arc<Self>> {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let backend = Arc::new(Self {
            id: id.into(),
            address: format!("{ip}:8547"),
            admin: format!("{ip}:8540"),
            service: service.into(),
            zone: zone.into(),
            work_ms: AtomicU64::new(work_ms),
            cold_until: Mutex::new(Instant::now()),
            born_ms: since_epoch.unwrap_or_default().as_millis(),
            seq: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            running: Mutex::new(0),
            waiting: AtomicUsize::new(0),
            connections: Mutex::default(),
            runs: Mutex::default(),
            checks: AtomicUsize::new(0),
        });
        let served = Arc::clone(&backend);
        serve(&backend.address, move |stream| {
            drop(served.serve_connection(stream));
        })?;
        let beating = Arc::clone(&backend);
        thread::spawn(move || {
            while !beating.ended.load(SeqCst) {
                if beating.beats.load(SeqCst) {
                    let beat = beating.next_beat();
                    let _ = beating.send_beat(&beat);
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        Ok(backend)
    }

    /// Stops or resumes heartbeats.
    pub fn set_beats(&self, on: bool) {
        self.beats.store(on, SeqCst);
    }

    /// Becomes cold for some time, without a restart. Heartbeats and health checks say so from now on.
    pub fn become_cold(&self, span: Duration) {
        *self.cold_until.lock().unwrap() = Instant::now() + span;
    }

    /// Waits until the next heartbeat has been sent.
    pub fn wait_for_beat(&self) {
        let before = self.seq.load(SeqCst);
        while self.seq.load(SeqCst) == before {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn cold_left(&self) -> Duration {
        self.cold_until
            .lock()
            .unwrap()
            .saturating_duration_since(Instant::now())
    }

    /// The body of the next heartbeat.
    pub fn next_beat(&self) -> String {
        let seq = self.seq.fetch_add(1, SeqCst) + 1;
        let cold = self.cold_left().as_secs_f64();
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"ready","cold_left_s":{cold:.3},"seq":{seq},"born":{}}}"#,
            self.service, self.address, self.zone, self.born_ms
        )
    }

    /// Sends a heartbeat, and returns the status of the response.
    pub fn send_beat(&self, body: &str) -> io::Result<String> {
        let first = format!("PUT /v1/instances/{} HTTP/1.1", self.id);
        let headers = [
            ("Host", self.admin.clone()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let answer = call(
            &self.admin,
            &first,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        )?;
        Ok(answer.word(1).to_owned())
    }

    /// Says that the backend leaves; returns the status of the response.
    pub fn leave(&self) -> io::Result<String> {
        let first = format!("DELETE /v1/instances/{} HTTP/1.1", self.id);
        let headers = [("Host", self.admin.clone())];
        let answer = call(&self.admin, &first, &headers, b"", Duration::from_secs(1))?;
        Ok(answer.word(1).to_owned())
    }

    /// Ends the backend: it closes all connections and refuses new requests.
    pub fn end(&self) {
        self.ended.store(true, SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        if self.ended.load(SeqCst) {
            return Ok(());
        }
        self.connections.lock().unwrap().push(stream.try_clone()?);
        let mut out = stream.try_clone()?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if !self.answer(&mut out, &request)? {
                break;
            }
        }
        out.shutdown(Shutdown::Both)
    }

    /// Runs a request and answers it. Returns whether the connection can be used again.
    fn answer(&self, out: &mut TcpStream, request: &Message) -> io::Result<bool> {
        let id = request.header("attempt-id").to_owned();
        let own = [("Instance-Id", self.id.clone())];
        if request.word(1) == "/healthz" {
            self.checks.fetch_add(1, SeqCst);
            let cold_ms = self.cold_left().as_millis();
            let cold = [own[0].clone(), ("Cold-Ms", cold_ms.to_string())];
            let headers = if cold_ms > 0 { &cold[..] } else { &own[..] };
            write_message(out, "HTTP/1.1 200 OK", headers, b"")?;
            return Ok(true);
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            write_message(out, "HTTP/1.1 421 Misdirected Request", &own, b"")?;
            return Ok(true);
        }
        if self.waiting.load(SeqCst) >= QUEUE {
            let headers = [("Not-Executed", "1".to_owned()), ("Attempt-Id", id)];
            write_message(out, "HTTP/1.1 503 Service Unavailable", &headers, b"")?;
            return Ok(true);
        }
        self.waiting.fetch_add(1, SeqCst);
        while !self.take_slot() {
            if is_closed(out) || self.ended.load(SeqCst) {
                self.waiting.fetch_sub(1, SeqCst);
                return Ok(false);
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.waiting.fetch_sub(1, SeqCst);
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                at: Instant::now(),
                id: id.clone(),
                backend: self.id.clone(),
                fate: Fate::Running,
            });
            runs.len() - 1
        };
        let work_ms = match request.word(1) {
            path if path.starts_with("/brief/") => BRIEF_MS,
            _ => self.work_ms.load(SeqCst),
        };
        let slower = if self.cold_left().is_zero() { 1 } else { 2 };
        let until = Instant::now() + Duration::from_millis(work_ms) * slower;
        let fate = loop {
            if self.ended.load(SeqCst) {
                break Fate::Lost;
            }
            if is_closed(out) {
                break Fate::Dropped;
            }
            let now = Instant::now();
            if now >= until {
                break Fate::Answered;
            }
            thread::sleep((until - now).min(Duration::from_millis(5)));
        };
        *self.running.lock().unwrap() -= 1;
        self.runs.lock().unwrap()[number].fate = fate.clone();
        if fate != Fate::Answered {
            return Ok(false);
        }
        let headers = [
            ("Attempt-Id", id),
            ("Server-Stamp", format!("stamp-of-{}", self.id)),
        ];
        write_message(out, "HTTP/1.1 200 OK", &headers, b"done")?;
        Ok(true)
    }

    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        let free = *running < SLOTS;
        *running += usize::from(free);
        free
    }
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let result = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
