//! Tests that the platform stand-in has the properties of the real platform on which the fleet relies.

use std::{
    io::{Read, Write},
    net::TcpStream,
    process::{Child, Command},
    thread::sleep,
    time::{Duration, Instant},
};

struct Platform {
    child: Child,
    address: String,
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_platform() -> Platform {
    let address = format!("127.9.{}.1:7000", 1 + std::process::id() % 250);
    let child = Command::new(env!("CARGO_BIN_EXE_platform"))
        .args(["--listen", &address])
        .spawn()
        .expect("failed to start the stand-in");
    let deadline = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(&address).is_err() {
        assert!(
            Instant::now() < deadline,
            "the stand-in does not accept connections"
        );
        sleep(Duration::from_millis(20));
    }
    Platform { child, address }
}

impl Platform {
    fn post(&self, path: &str, body: &str) -> String {
        let mut stream =
            TcpStream::connect(&self.address).expect("failed to connect to the stand-in");
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream
            .write_all(request.as_bytes())
            .expect("failed to send the request");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("failed to read the response");
        response
    }

    /// Writes the row `a` on the condition that it has a version; returns whether the stand-in confirms it.
    fn commit(&self, version: u64, value: &str) -> bool {
        let body = format!(
            r#"{{"conditions":[{{"key":"a","version":{version}}}],"writes":[{{"key":"a","value":"{value}"}}]}}"#
        );
        self.post("/table/commit", &body).ends_with("true")
    }
}

#[test]
fn commit_checks_conditions_and_applies_writes_even_if_the_response_is_lost() {
    let platform = start_platform();
    assert!(platform.commit(0, "one"));
    assert!(
        !platform.commit(0, "two"),
        "the row exists, so version 0 must be refused"
    );
    platform.post("/control", r#"{"lose_answers":1}"#);
    assert!(
        !platform.commit(1, "three"),
        "the commit was confirmed although its response should be lost"
    );
    let row = platform.post("/table/read", r#"{"key":"a"}"#);
    assert!(row.contains("three"), "{row}");
}
