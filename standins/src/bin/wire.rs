//! A stand-in for an unreliable network: relays TCP and UDP, and blocks, delays or silences traffic by
//! sender and relayed address.

use std::{
    collections::HashMap,
    io,
    net::{AddrParseError, IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use clap::Parser;
use serde::{Deserialize, Serialize};
use standins::{Shared, listen, state};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{sleep, timeout},
};
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode, types::State};

/// Relays TCP and UDP between addresses of this machine.
#[derive(Parser)]
struct Args {
    /// Accept rules over HTTP on this address.
    #[arg(long)]
    control: SocketAddr,
    /// Relay from one address to another, as FROM=TO; may be given several times.
    #[arg(long = "map", required = true)]
    maps: Vec<String>,
}

/// Faults of the traffic between one sender and one relayed address.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Rule {
    /// Relayed address, on which the relay listens; empty matches all.
    to: String,
    /// IP address of the sender; empty matches all.
    from: String,
    /// Blocks traffic from the sender to the relayed address.
    cut_forth: bool,
    /// Blocks traffic from the relayed address to the sender.
    cut_back: bool,
    /// Delay added in each direction, in milliseconds.
    delay_ms: u64,
    /// Silences for good the connections that exist when the rule is set; new ones work.
    silence: bool,
}

/// Rules in effect and connections.
#[derive(Default)]
struct Relay {
    rules: Vec<Rule>,
    /// Relayed address and sender of silenced connections, and the number of the last one.
    silenced: Vec<(String, String, u64)>,
    /// Number of connections accepted so far, which is also the number of the last one.
    connections: u64,
}

type Network = Shared<Relay>;

/// Interval at which blocked traffic is checked against the rules and the destination is probed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of a read buffer in bytes.
const BUFFER_SIZE: usize = 64 << 10;

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let args = Args::parse();
    let network = Network::new(Relay::default());
    for map in &args.maps {
        let (relayed, destination) = map
            .split_once('=')
            .ok_or_else(|| io::Error::other("--map must have the form FROM=TO"))?;
        let malformed = |e: AddrParseError| io::Error::other(format!("--map {map}: {e}"));
        let relayed: SocketAddr = relayed.parse().map_err(malformed)?;
        let destination: SocketAddr = destination.parse().map_err(malformed)?;
        let listener = TcpListener::bind(relayed).await?;
        let socket = UdpSocket::bind(relayed).await?;
        tokio::spawn(relay_tcp(network.clone(), listener, relayed, destination));
        let socket = Arc::new(socket);
        tokio::spawn(relay_udp(network.clone(), socket, relayed, destination));
    }
    let router = Router::new()
        .post("/rules", replace_rules)
        .with(State::new(network));
    listen(args.control, router).await
}

/// Replaces all rules. A rule with `silence` applies to the connections that exist at this moment.
async fn replace_rules(mut request: Request) -> Result<Response> {
    let network = state::<Relay>(&request)?;
    let rules: Vec<Rule> = request.json().await?;
    let mut relay = network.lock();
    let last_number = relay.connections;
    for rule in rules.iter().filter(|r| r.silence) {
        let silenced = (rule.to.clone(), rule.from.clone(), last_number);
        relay.silenced.push(silenced);
    }
    relay.rules = rules;
    Ok(StatusCode::OK.into_response())
}

/// Returns whether a pattern matches; the empty pattern matches everything.
fn matches(pattern: &str, text: &str) -> bool {
    pattern.is_empty() || pattern == text
}

impl Relay {
    fn is_silenced(&self, relayed: &str, sender: &str, number: u64) -> bool {
        self.silenced.iter().any(|(to, from, last)| {
            matches(to, relayed) && matches(from, sender) && number <= *last
        })
    }

    /// Returns whether traffic is blocked; `forward` is the direction from the sender.
    fn is_cut(&self, relayed: &str, sender: &str, forward: bool) -> bool {
        let blocks = |r: &&Rule| if forward { r.cut_forth } else { r.cut_back };
        let matching = |r: &&Rule| matches(&r.to, relayed) && matches(&r.from, sender);
        self.rules.iter().filter(matching).any(|r| blocks(&r))
    }

    fn delay(&self, relayed: &str, sender: &str) -> Duration {
        let matching = self
            .rules
            .iter()
            .filter(|r| matches(&r.to, relayed) && matches(&r.from, sender));
        Duration::from_millis(matching.map(|r| r.delay_ms).max().unwrap_or(0))
    }
}

/// Relays connections. While nothing listens on `destination`, the relay closes its own listener, so that
/// connections are refused as they would be without the relay.
async fn relay_tcp(
    network: Network,
    listener: TcpListener,
    relayed: SocketAddr,
    destination: SocketAddr,
) {
    let mut listener = Some(listener);
    loop {
        if TcpStream::connect(destination).await.is_err() {
            listener = None;
            sleep(POLL_INTERVAL).await;
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(relayed).await.ok();
        }
        let Some(bound) = &listener else {
            continue;
        };
        let Ok(Ok((inbound, sender))) = timeout(POLL_INTERVAL, bound.accept()).await else {
            continue;
        };
        let network = network.clone();
        tokio::spawn(async move {
            let Ok(outbound) = TcpStream::connect(destination).await else {
                return;
            };
            let _ = inbound.set_nodelay(true);
            let _ = outbound.set_nodelay(true);
            let number = {
                let mut relay = network.lock();
                relay.connections += 1;
                relay.connections
            };
            let connection = Connection {
                network,
                relayed: relayed.to_string(),
                sender: sender.ip(),
                number,
            };
            let (inbound_read, inbound_write) = inbound.into_split();
            let (outbound_read, outbound_write) = outbound.into_split();
            let back = connection.clone();
            tokio::join!(
                connection.copy(inbound_read, outbound_write, true),
                back.copy(outbound_read, inbound_write, false)
            );
        });
    }
}

/// A relayed connection.
#[derive(Clone)]
struct Connection {
    network: Network,
    relayed: String,
    sender: IpAddr,
    number: u64,
}

impl Connection {
    /// Copies bytes in one direction. While a rule cuts this direction, the bytes wait; on a silenced
    /// connection they wait for good.
    async fn copy(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, forward: bool) {
        let sender = self.sender.to_string();
        let mut buffer = vec![0; BUFFER_SIZE];
        loop {
            let Ok(size) = read.read(&mut buffer).await else {
                return;
            };
            loop {
                let blocked = {
                    let relay = self.network.lock();
                    relay.is_silenced(&self.relayed, &sender, self.number)
                        || relay.is_cut(&self.relayed, &sender, forward)
                };
                if !blocked {
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
            if size == 0 {
                let _ = write.shutdown().await;
                return;
            }
            let delay = self.network.lock().delay(&self.relayed, &sender);
            if !delay.is_zero() {
                sleep(delay).await;
            }
            if write.write_all(&buffer[..size]).await.is_err() {
                return;
            }
        }
    }
}

/// Relays datagrams to the destination, over one socket for each sender.
async fn relay_udp(
    network: Network,
    inbound: Arc<UdpSocket>,
    relayed: SocketAddr,
    destination: SocketAddr,
) {
    let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; BUFFER_SIZE];
    let address = relayed.to_string();
    loop {
        let Ok((size, sender)) = inbound.recv_from(&mut buffer).await else {
            continue;
        };
        let outbound = match sockets.get(&sender) {
            Some(outbound) => outbound.clone(),
            None => {
                let Ok(outbound) = UdpSocket::bind(SocketAddr::new(relayed.ip(), 0)).await else {
                    continue;
                };
                let outbound = Arc::new(outbound);
                sockets.insert(sender, outbound.clone());
                let shared = (network.clone(), address.clone(), inbound.clone());
                tokio::spawn(relay_udp_back(shared, outbound.clone(), sender));
                outbound
            }
        };
        let datagram = buffer[..size].to_vec();
        let sender = sender.ip().to_string();
        let (is_cut, delay) = {
            let relay = network.lock();
            (
                relay.is_cut(&address, &sender, true),
                relay.delay(&address, &sender),
            )
        };
        if is_cut {
            continue;
        }
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = outbound.send_to(&datagram, destination).await;
        });
    }
}

/// Relays datagrams from the destination back to one sender.
async fn relay_udp_back(
    (network, address, inbound): (Network, String, Arc<UdpSocket>),
    outbound: Arc<UdpSocket>,
    sender: SocketAddr,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let Ok(size) = outbound.recv(&mut buffer).await else {
            continue;
        };
        let ip = sender.ip().to_string();
        let (is_cut, delay) = {
            let relay = network.lock();
            (
                relay.is_cut(&address, &ip, false),
                relay.delay(&address, &ip),
            )
        };
        if is_cut {
            continue;
        }
        let datagram = buffer[..size].to_vec();
        let inbound = inbound.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = inbound.send_to(&datagram, sender).await;
        });
    }
}
