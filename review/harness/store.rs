//! A stand-in for the platform's store of rows: reads of a range and transactions, as the pages describe.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::TcpStream,
    sync::{Arc, Mutex},
    time::Instant,
};

use crate::web::{read_message, serve, write_message};

#[derive(Default)]
struct Rows {
    /// The value (base64) and version of each row, by table, part and key.
    rows: BTreeMap<(String, String, String), (String, u64)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    started: Instant,
}

impl Store {
    pub fn start(address: &str) -> io::Result<Self> {
        let store = Self {
            rows: Arc::default(),
            started: Instant::now(),
        };
        let served = store.clone();
        serve(address, move |stream| drop(served.serve_connection(stream)))?;
        Ok(store)
    }

    /// Writes a row of the operators. The write is acknowledged when this returns.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let row = (encode(value.as_bytes()), version);
        rows.rows
            .insert((table.into(), String::new(), key.into()), row);
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let target = request.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, body) = match (request.word(0), path) {
                ("GET", "/v1/rows-get") => ("200 OK", self.read(query)),
                ("POST", "/v1/rows-tx") => self.commit(&String::from_utf8_lossy(&request.body)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let json = [("Content-Type", "application/json".to_owned())];
            write_message(
                &mut out,
                &format!("HTTP/1.1 {status}"),
                &json,
                body.as_bytes(),
            )?;
        }
        Ok(())
    }

    fn read(&self, query: &str) -> String {
        let field = |name: &str| {
            let found = query.split('&').filter_map(|p| p.split_once('='));
            let value = found.filter(|(n, _)| *n == name).map(|(_, v)| v).next();
            value.unwrap_or("").replace("%00", "\0")
        };
        let (table, part) = (field("table"), field("part"));
        let (from, to) = (field("from"), field("target"));
        let rows = self.rows.lock().unwrap();
        let listed: Vec<String> = rows
            .rows
            .iter()
            .filter(|((t, p, key), _)| *t == table && *p == part && *key >= from)
            .filter(|((_, _, key), _)| to.is_empty() || *key < to)
            .map(|((_, _, key), (value, ver))| {
                format!(r#"{{"table":"{table}","part":"{part}","key":"{key}","value":"{value}","ver":{ver}}}"#)
            })
            .collect();
        let (version, now) = (rows.version, self.started.elapsed().as_secs_f64());
        let listed = listed.join(",");
        format!(r#"{{"rows":[{listed}],"has_more":false,"ver":{version},"now_s":{now:.3}}}"#)
    }

    /// Applies a transaction. Strings in it contain no escaped characters.
    fn commit(&self, body: &str) -> (&'static str, String) {
        let mut rows = self.rows.lock().unwrap();
        for row in objects(body, "precondition") {
            let ver = text(&row, "ver").parse::<u64>().unwrap_or(0);
            let held = rows.rows.get(&key_of(&row)).map_or(0, |(_, ver)| *ver);
            if held != ver {
                let version = rows.version;
                return (
                    "412 Precondition Failed",
                    format!(r#"{{"rows":[],"ver":{version},"now_s":1.0}}"#),
                );
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in objects(body, "puts") {
            rows.rows
                .insert(key_of(&row), (text(&row, "value"), version));
        }
        for row in objects(body, "deletes") {
            rows.rows.remove(&key_of(&row));
        }
        ("200 OK", format!(r#"{{"ver":{version},"now_s":1.0}}"#))
    }
}

fn key_of(row: &str) -> (String, String, String) {
    (text(row, "table"), text(row, "part"), text(row, "key"))
}

/// Returns the flat objects of a list.
fn objects(body: &str, list: &str) -> Vec<String> {
    let Some((_, rest)) = body.split_once(&format!("\"{list}\":[")) else {
        return Vec::new();
    };
    let inner = rest.split(']').next().unwrap_or("");
    inner
        .split('}')
        .filter(|o| o.contains('{'))
        .map(str::to_owned)
        .collect()
}

/// Returns the text of a field that holds a string or a number.
fn text(object: &str, field: &str) -> String {
    let Some((_, rest)) = object.split_once(&format!("\"{field}\":")) else {
        return String::new();
    };
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or("").to_owned(),
        None => rest.chars().take_while(char::is_ascii_digit).collect(),
    }
}

/// Encodes bytes as base64.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
