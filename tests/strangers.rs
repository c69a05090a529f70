//! Strangers and malformed input: a clear refusal, nothing lost, no panic.

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
use testenv::{Call, Fleet, order, spec};
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
fn no_datagram_makes_the_decoder_panic_and_none_unsealed_is_opened() {
    let secret = Secret::new("a secret that only tests know").expect("long enough");
    runner()
        .run(&prop::collection::vec(any::<u8>(), 0..400), |bytes| {
            let _ = decode(&bytes);
            prop_assert!(secret.verify(&bytes).is_err());
            let sealed = secret.sign(&bytes);
            prop_assert_eq!(secret.verify(&sealed).ok(), Some(&bytes[..]));
            let mut changed = sealed.clone();
            let place = bytes.len() % changed.len();
            changed[place] ^= 1;
            prop_assert!(secret.verify(&changed).is_err());
            Ok(())
        })
        .unwrap();
}

#[test]
fn no_news_makes_freshness_panic() {
    let news = (
        any::<u64>(),
        any::<u32>(),
        prop::collection::vec(any::<u8>(), 0..8),
    );
    runner()
        .run(&news, |(generation, roster, ages)| {
            let now = std::time::Instant::now();
            let mut fresh = Freshness::new("a", now);
            fresh.install(1, &["a".to_owned(), "b".to_owned(), "c".to_owned()], now);
            let heard = FreshnessReport {
                from: "b".to_owned(),
                generation,
                joined: true,
                fresh: true,
                head: Some((std::time::Duration::MAX, generation)),
                roster,
                ages,
            };
            fresh.record_report(now, &heard, now);
            let _ = fresh.is_fresh(now);
            Ok(())
        })
        .unwrap();
}

#[test]
fn no_text_makes_the_checks_panic() {
    runner()
        .run(&".{0,200}", |text| {
            let source = Source::new("file", &text);
            let _ = source.object();
            let _ = marjoramdyke::config::check("file", &text);
            Ok(())
        })
        .unwrap();
}

#[tokio::test]
async fn a_stranger_at_the_fleet_listener_is_refused() {
    let fleet = Fleet::start(spec(3)).await;
    let address = format!("{}:7000", fleet.ip(0));
    let stream = TcpStream::connect(&address).await.expect("it listens");
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("a handshake");
    tokio::spawn(connection);
    let request = Request::post(format!("http://{address}/orders/new"))
        .header("mjd-attempt", "1.2.3")
        .header("mjd-token", "0123456789abcdef")
        .body(Full::new(Bytes::from_static(b"an order")))
        .expect("a request");
    let response = sender.send_request(request).await.expect("an answer");
    assert_eq!(response.status(), 403);
    assert!(fleet.executions().await.is_empty());
}

#[tokio::test]
async fn malformed_datagrams_and_heads_do_no_harm() {
    let fleet = Fleet::start(spec(3)).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    for size in [0, 1, 15, 16, 17, 400, 1_400] {
        let datagram = vec![0xa5; size];
        socket
            .send_to(&datagram, format!("{}:7000", fleet.ip(0)))
            .await
            .expect("sent");
    }
    let huge = "x".repeat(64 << 10);
    let call = Call {
        headers: &[("x-huge", &huge)],
        ..order("huge")
    };
    if let Some(got) = fleet.call(0, call).await {
        assert_eq!(got.status, 431);
    }
    let mut slow = TcpStream::connect(fleet.callers(0))
        .await
        .expect("it listens");
    slow.write_all(b"POST /orders/new HTTP/1.1\r\nhost: shop\r\n")
        .await
        .expect("sent");
    let begun = std::time::Instant::now();
    let mut answer = Vec::new();
    // The connection ends by itself, with or without a status.
    let _ = slow.read_to_end(&mut answer).await;
    assert!(
        begun.elapsed().as_secs() < 20,
        "a slow sender keeps its connection"
    );
    let got = fleet.call(0, order("after")).await.expect("an answer");
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(fleet.executions().await.len(), 1);
}

#[tokio::test]
async fn bad_settings_stop_the_start_with_every_finding() {
    let file = testenv::write_file(r#"{ "fleet": "here", "local": 7, "colour": "green" }"#);
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_marjoramdyke-node"))
        .args(["--settings", &file])
        .env_remove("MARJORAMDYKE_SECRET")
        .output()
        .expect("the node starts");
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
        assert!(text.contains(part), "{part}: {text}");
    }
}

/// A head that is too large, sent with the wrong host, must not reach the logs with its key.
#[tokio::test]
async fn answers_hold_no_key() {
    let fleet = Fleet::start(spec(3)).await;
    let call = Call {
        key: Some("mjd_wrong_key"),
        ..order("wrong")
    };
    let got = fleet.call(0, call).await.expect("an answer");
    let text = format!("{:?} {:?}", got.headers, got.body);
    assert!(!text.contains("mjd_wrong_key"));
    assert!(!got.headers.contains_key(header::AUTHORIZATION));
}
