//! Clients beside the nodes: each request has an id of its own and is sent once, over a new connection.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::web::call;

#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub node: String,
    pub at: Instant,
    /// When the answer was complete, and its status or what happened instead.
    pub answered: Option<(Instant, String)>,
    /// Whether the answer has the stamp of a backend.
    pub stamped: bool,
}

#[derive(Clone, Default)]
pub struct Clients {
    next: Arc<AtomicU64>,
    pub log: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    /// Sends a request to a node from a thread of its own.
    pub fn send(&self, node: &str, method: &str, prefix: &str, deadline_ms: u64) -> JoinHandle<()> {
        let number = self.next.fetch_add(1, SeqCst);
        let id = format!("{number:016x}");
        let index = {
            let mut log = self.log.lock().unwrap();
            log.push(Sent {
                id: id.clone(),
                node: node.to_owned(),
                at: Instant::now(),
                answered: None,
                stamped: false,
            });
            log.len() - 1
        };
        let (log, node) = (Arc::clone(&self.log), node.to_owned());
        let first = format!("{method} {prefix}{number} HTTP/1.1");
        let body: &[u8] = if method == "POST" { b"two crates" } else { b"" };
        thread::spawn(move || {
            let headers = [
                ("Host", "shop.example".to_owned()),
                ("Attempt-Id", id),
                ("Deadline-Ms", deadline_ms.to_string()),
                ("Key", "a-key-of-alpha".to_owned()),
            ];
            let answer = call(
                &node,
                &first,
                &headers,
                body,
                Duration::from_millis(deadline_ms + 500),
            );
            let (text, stamped) = match &answer {
                Ok(answer) => (
                    answer.word(1).to_owned(),
                    !answer.header("server-stamp").is_empty(),
                ),
                Err(error) => (format!("no answer: {error}"), false),
            };
            let mut log = log.lock().unwrap();
            log[index].answered = Some((Instant::now(), text));
            log[index].stamped = stamped;
        })
    }

    /// Sends `count` requests at even intervals over `span`, to the nodes in turn.
    pub fn send_evenly(
        &self,
        nodes: &[String],
        method: &str,
        prefix: &str,
        deadline_ms: u64,
        count: u32,
        span: Duration,
    ) -> Vec<JoinHandle<()>> {
        let started = Instant::now();
        let mut threads = Vec::new();
        for i in 0..count {
            let due = started + span * i / count;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            threads.push(self.send(
                &nodes[i as usize % nodes.len()],
                method,
                prefix,
                deadline_ms,
            ));
        }
        threads
    }
}
