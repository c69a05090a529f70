//! Sends malformed input and unauthenticated requests to decoders and nodes: they must be refused without a
//! panic, and other requests must still be served.

mod testenv;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use marjoramdyke::{
    fleet::{Secret, gossip::decode},
    jsonc::Source,
    policy::fresh::{Freshness, FreshnessReport},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use testenv::{Call, Fleet, default_spec, order_call};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
};

fn runner() -> TestRunner {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

#[test]
fn decoder_does_not_panic_on_random_bytes_and_verify_accepts_only_signed_bytes() {
    let secret = Secret::new("a secret that only tests know").expect("the secret is too short");
    runner()
        .run(&prop::collection::vec(any::<u8>(), 0..400), |bytes| {
            let _ = decode(&bytes);
            prop_assert!(secret.verify(&bytes).is_err());
            let signed = secret.sign(&bytes);
            prop_assert_eq!(secret.verify(&signed).ok(), Some(&bytes[..]));
            let mut altered = signed.clone();
            let position = bytes.len() % altered.len();
            altered[position] ^= 1;
            prop_assert!(secret.verify(&altered).is_err());
            Ok(())
        })
        .unwrap();
}

#[test]
fn freshness_does_not_panic_on_arbitrary_gossip() {
    let gossip = (
        any::<u64>(),
        any::<u32>(),
        prop::collection::vec(any::<u8>(), 0..8),
    );
    runner()
        .run(&gossip, |(generation, roster, ages)| {
            let now = std::time::Instant::now();
            let mut freshness = Freshness::new("a", now);
            freshness.install(1, &["a".to_owned(), "b".to_owned(), "c".to_owned()], now);
            let report = FreshnessReport {
                from: "b".to_owned(),
                generation,
                joined: true,
                fresh: true,
                head: Some((std::time::Duration::MAX, generation)),
                roster,
                ages,
            };
            freshness.record_report(now, &report, now);
            let _ = freshness.is_fresh(now);
            Ok(())
        })
        .unwrap();
}

#[test]
fn configuration_check_does_not_panic_on_arbitrary_text() {
    runner()
        .run(&".{0,200}", |text| {
            let source = Source::new("file", &text);
            let _ = source.parse_object();
            let _ = marjoramdyke::config::check("file", &text);
            Ok(())
        })
        .unwrap();
}

#[tokio::test]
async fn fleet_listener_refuses_unauthenticated_request() {
    let fleet = Fleet::start(default_spec(3)).await;
    let address = format!("{}:7000", fleet.ip(0));
    let stream = TcpStream::connect(&address)
        .await
        .expect("failed to connect");
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("the HTTP/2 handshake failed");
    tokio::spawn(connection);
    let request = Request::post(format!("http://{address}/orders/new"))
        .header("mjd-attempt", "1.2.3")
        .header("mjd-token", "0123456789abcdef")
        .body(Full::new(Bytes::from_static(b"an order")))
        .expect("the request is invalid");
    let response = sender
        .send_request(request)
        .await
        .expect("no complete answer arrived");
    assert_eq!(response.status(), 403);
    assert!(fleet.executions().await.is_empty());
}

#[tokio::test]
async fn node_serves_after_malformed_datagrams_and_request_heads() {
    let fleet = Fleet::start(default_spec(3)).await;
    let socket = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("failed to bind a socket");
    for size in [0, 1, 15, 16, 17, 400, 1_400] {
        let datagram = vec![0xa5; size];
        socket
            .send_to(&datagram, format!("{}:7000", fleet.ip(0)))
            .await
            .expect("failed to send");
    }
    let huge = "x".repeat(64 << 10);
    let call = Call {
        headers: &[("x-huge", &huge)],
        ..order_call("huge")
    };
    if let Some(answer) = fleet.call(0, call).await {
        assert_eq!(answer.status, 431);
    }
    let mut incomplete = TcpStream::connect(fleet.callers_address(0))
        .await
        .expect("failed to connect");
    incomplete
        .write_all(b"POST /orders/new HTTP/1.1\r\nhost: shop\r\n")
        .await
        .expect("failed to send");
    let started = std::time::Instant::now();
    let mut received = Vec::new();
    // The node closes the connection after a timeout, with or without an answer.
    let _ = incomplete.read_to_end(&mut received).await;
    assert!(
        started.elapsed().as_secs() < 20,
        "a connection with an incomplete head stayed open"
    );
    let answer = fleet
        .call(0, order_call("after"))
        .await
        .expect("no complete answer arrived");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(fleet.executions().await.len(), 1);
}

#[tokio::test]
async fn node_refuses_to_start_and_reports_every_error_in_settings() {
    let file = testenv::write_file(r#"{ "fleet": "here", "local": 7, "colour": "green" }"#);
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_marjoramdyke-node"))
        .args(["--settings", &file])
        .env_remove("MARJORAMDYKE_SECRET")
        .output()
        .expect("failed to run the node");
    let text = testenv::text(&output);
    assert_eq!(output.status.code(), Some(1));
    for part in [
        "\"local\" must be a string",
        "colour",
        "\"fleet\"",
        "callers",
        "data_centre",
        "platform",
        "secret",
    ] {
        assert!(
            text.contains(part),
            "the output does not mention {part}: {text}"
        );
    }
}

/// A refusal that repeated the caller's key would disclose it to whoever can read the answer.
#[tokio::test]
async fn refusal_of_wrong_key_does_not_contain_it() {
    let fleet = Fleet::start(default_spec(3)).await;
    let call = Call {
        key: Some("mjd_wrong_key"),
        ..order_call("wrong")
    };
    let answer = fleet
        .call(0, call)
        .await
        .expect("no complete answer arrived");
    let text = format!("{:?} {:?}", answer.headers, answer.body);
    assert!(
        !text.contains("mjd_wrong_key"),
        "the refusal contains the key: {text}"
    );
    assert!(!answer.headers.contains_key(header::AUTHORIZATION));
}
