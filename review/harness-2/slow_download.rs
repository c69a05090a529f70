//! LOST: a node is stopped as planned while clients read large answers slowly.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    sync::atomic::{AtomicUsize, Ordering::SeqCst},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    stand_ins::{Fleet, Node, Record, await_true, configuration, send_request},
};

const SERVICE: &str = "assets";

/// Size of the answers: the largest download of the sheet.
const SIZE: usize = 540_000;

/// Rate at which clients read, in bytes a second: each needs 4.9 s of its 8 s.
const RATE: f64 = 110_000.0;

/// Deadline of the requests, as the sheet's downloads have it.
const DEADLINE_MS: u32 = 8_000;

/// The clients' receive buffer, and their largest segment, which is that of an Ethernet link: the loopback interface would
/// otherwise hold whole answers.
const WINDOW: i32 = 2_048;
const SEGMENT: i32 = 1_400;

/// When the downloads start after SIGTERM, in milliseconds: before the platform has asked twice whether the node is ready.
const STARTS: [u64; 6] = [500, 550, 600, 650, 700, 750];

const LIMIT: Duration = Duration::from_secs(4);

pub fn run(trouble: bool) -> Verdict {
    let fleet = Fleet::start(SERVICE, 3, &configuration(1, SERVICE, ("download", 2), 0));
    let work = Duration::from_millis(50);
    let backends: Vec<_> = (0..3)
        .map(|i| fleet.start_backend(i, SERVICE, work))
        .collect();
    backends.iter().for_each(|b| b.answer_with(SIZE));
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Err("the nodes did not become ready");
    }
    let record = &fleet.record;
    let node = &fleet.nodes[0];
    let reached = || send_request(record, node, ("/read/a", "warm-up"), LIMIT) == 200;
    if !await_true(Duration::from_secs(10), reached) {
        return Err("requests are not served");
    }
    thread::sleep(Duration::from_secs(4));
    let (complete, cut, failed) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    if trouble {
        record.write("the node of kochi-a gets SIGTERM; its grace is 6 s");
        node.send_term();
    }
    let stopped = Instant::now();
    thread::scope(|scope| {
        for (number, start) in STARTS.iter().enumerate() {
            let (complete, cut, failed) = (&complete, &cut, &failed);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(*start));
                match download(record, node, &format!("d-{number}")) {
                    Some(SIZE) => complete.fetch_add(1, SeqCst),
                    Some(_) => cut.fetch_add(1, SeqCst),
                    None => failed.fetch_add(1, SeqCst),
                };
            });
        }
        if trouble {
            node.await_end(Duration::from_secs(6));
            let after = stopped.elapsed().as_secs_f64();
            record.write(&format!(
                "the process of the node has ended {after:.2} s after SIGTERM"
            ));
        }
    });
    let (complete, cut, failed) = (complete.into_inner(), cut.into_inner(), failed.into_inner());
    record.write(&format!(
        "{complete} answers were complete, {cut} were cut midway, {failed} requests got no success"
    ));
    if complete + cut == 0 {
        return Err("no download began");
    }
    Ok(cut == 0)
}

/// Reads an answer slowly, and returns how much of its body came; `None` without a success.
fn download(record: &Record, node: &Node, id: &str) -> Option<usize> {
    record.write(&format!("client in {} sends {id}", node.zone));
    let started = Instant::now();
    let mut stream = connect_small(node.outbound)?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    let head = format!(
        "GET /read/banner HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let (mut content, mut part) = (Vec::new(), [0; 4_096]);
    let mut body_start = None;
    let body_length =
        |content: &Vec<u8>, start: Option<usize>| start.map_or(0, |s| content.len() - s);
    let mut end = "the whole answer came";
    while body_length(&content, body_start) < SIZE {
        match stream.read(&mut part) {
            Ok(0) => {
                end = "the connection ended";
                break;
            }
            Ok(read) => content.extend_from_slice(&part[..read]),
            Err(_) => {
                end = "the connection broke";
                break;
            }
        }
        if body_start.is_none() {
            let found = content.windows(4).position(|w| w == b"\r\n\r\n");
            body_start = found.map(|at| at + 4);
        }
        let due = Duration::from_secs_f64(content.len() as f64 / RATE);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    let (took, got) = (
        started.elapsed().as_secs_f64(),
        body_length(&content, body_start),
    );
    let status = String::from_utf8_lossy(&content[..content.len().min(12)]).into_owned();
    record.write(&format!(
        "client in {} got {status}, {got} of {SIZE} bytes for {id} in {took:.2} s: {end}",
        node.zone
    ));
    (content.starts_with(b"HTTP/1.1 200") && body_start.is_some()).then_some(got)
}

/// The address of a socket in the C library's format, of IPv4.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects with a small window. The standard library can't set these options before it connects.
fn connect_small(to: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(to) = to else { return None };
    let address = SocketAddress {
        family: 2,
        port: to.port().to_be(),
        address: u32::from_ne_bytes(to.ip().octets()),
        zero: [0; 8],
    };
    // The pointers are valid for the calls, and the descriptor belongs to the returned stream alone.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &WINDOW, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
        (connect(fd, &address, 16) == 0).then_some(stream)
    }
}
