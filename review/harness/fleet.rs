//! Starts nodes as processes of their own, with the command, environment and template of the deploy file.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, id},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{backend::Backend, store::Store, web::call};

pub const ZONES: [&str; 3] = ["kochi-a", "kochi-b", "kochi-c"];
pub const SERVICE: &str = "orders";
/// Bounds of a small deployment.
pub const GRACE_S: u32 = 6;
pub const CONFIG_APPLY_S: f64 = 2.0;
pub const DRAIN_S: f64 = 2.0;
pub const COLD_PER_S: f64 = 19.0;
pub const COLD_OVERAGE: f64 = 1.5;
pub const COLD_START_SLACK: f64 = 5.0;
pub const QUOTA_WINDOW_S: f64 = 5.0;
pub const QUOTA_OVERAGE: f64 = 0.1;
pub const QUOTA_SLACK: f64 = 20.0;

pub struct Node {
    pub ip: String,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    pids: PathBuf,
    command: String,
    secret: String,
}

impl Node {
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut words = self.command.split(' ');
        let child = Command::new(words.next().unwrap_or(""))
            .args(words)
            .env("MARJORAMDYKE_NODE_FILE", &self.settings)
            .env("MARJORAMDYKE_SECRET", &self.secret)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // The script ends what is listed here, whatever happens to this program.
        let mut pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.pids)?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.as_ref().map_or(0, Child::id);
        if pid == 0 {
            return Err(io::Error::other("the node is not running"));
        }
        Command::new("kill")
            .args([&format!("-{name}"), &pid.to_string()])
            .status()?;
        Ok(())
    }

    /// Waits until the process has ended, at most for `limit`.
    pub fn wait_for_exit(&mut self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if child.try_wait()?.is_some() {
                self.child = None;
            } else if Instant::now() >= until {
                return Err(io::Error::other("the node does not exit"));
            } else {
                thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let address = format!("{}:8546", self.ip);
        let host = [("Host", address.clone())];
        let answer = call(
            &address,
            "GET /v1/readyz HTTP/1.1",
            &host,
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|a| a.word(1) == "200")
    }

    /// Returns whether the node accepts heartbeats.
    pub fn accepts_beats(&self) -> bool {
        std::net::TcpStream::connect(format!("{}:8540", self.ip)).is_ok()
    }

    /// What the node has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn outbound(&self) -> String {
        format!("{}:8548", self.ip)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Fleet {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub backends: Vec<Arc<Backend>>,
    pub zero: Instant,
}

impl Fleet {
    /// Starts a store, `count` nodes over three zones, each with a backend, and waits until all serve.
    pub fn start(
        folder: &Path,
        count: usize,
        work_ms: u64,
        configuration: &str,
    ) -> io::Result<Self> {
        let subnet = free_subnet(count)?;
        let store = Store::start(&format!("{subnet}.250:8545"))?;
        store.put("op", "config", configuration);
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let template = fs::read_to_string("deploy/node.jsonc")?;
        let quoted = |name: &str| {
            let rest = deploy
                .split_once(&format!("{name} = \""))
                .map(|(_, rest)| rest);
            rest.and_then(|r| r.split('"').next())
                .unwrap_or("")
                .to_owned()
        };
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
            backends: Vec::new(),
            zero: Instant::now(),
        };
        for i in 0..count {
            let ip = format!("{subnet}.{}", 10 + i);
            let zone = ZONES[i % ZONES.len()];
            let settings = folder.join(format!("node-{i}.jsonc"));
            File::create(&settings)?.write_all(render(&template, &ip, zone, &subnet).as_bytes())?;
            let mut node = Node {
                child: None,
                settings,
                log: folder.join(format!("node-{i}.log")),
                pids: folder.join("pids"),
                command: quoted("run"),
                secret: quoted("MARJORAMDYKE_SECRET"),
                ip: ip.clone(),
            };
            node.spawn()?;
            fleet.nodes.push(node);
            let id = format!("i-{i}");
            fleet
                .backends
                .push(Backend::start(&id, &ip, SERVICE, zone, work_ms)?);
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !fleet.nodes.iter().all(Node::is_ready) {
            if Instant::now() >= until {
                return Err(io::Error::other("the nodes do not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        // Two heartbeats of each backend, and gossip of them.
        thread::sleep(Duration::from_secs(4));
        fleet.zero = Instant::now();
        Ok(fleet)
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.zero).as_secs_f64()
    }
}

/// Fills in the template as the platform does.
fn render(template: &str, ip: &str, zone: &str, subnet: &str) -> String {
    let zones: Vec<String> = ZONES.iter().map(|z| format!("\"{z}\"")).collect();
    let (start, rest) = template
        .split_once("{{#zones}}")
        .unwrap_or((template, "{{/zones}}"));
    let (_, end) = rest.split_once("{{/zones}}").unwrap_or(("", rest));
    let text = format!("{start}{}{end}", zones.join(","));
    let fields = [
        ("ip", ip.to_owned()),
        ("port_range.0", "7000".into()),
        ("listen.outbound", format!("{ip}:8548")),
        ("listen.ready", format!("{ip}:8546")),
        ("listen.admin", format!("{ip}:8540")),
        ("app_addr", format!("{ip}:8547")),
        ("service", SERVICE.into()),
        ("zone", zone.into()),
        ("platform.addr", format!("{subnet}.250:8545")),
        ("bounds.grace_s", GRACE_S.to_string()),
        ("bounds.floor_share", "0.7".into()),
        ("bounds.retry_ratio", "0.2".into()),
        ("bounds.retry_slack", "56".into()),
        ("bounds.cold_overage", COLD_OVERAGE.to_string()),
        ("bounds.cold_start_slack", COLD_START_SLACK.to_string()),
        ("bounds.quota_slack", QUOTA_SLACK.to_string()),
        ("bounds.quota_overage", QUOTA_OVERAGE.to_string()),
        ("bounds.quota_window_s", QUOTA_WINDOW_S.to_string()),
        ("bounds.config_apply_s", CONFIG_APPLY_S.to_string()),
    ];
    fields.iter().fold(text, |text, (name, value)| {
        text.replace(&format!("{{{{{name}}}}}"), value)
    })
}

/// Finds loopback addresses on which the ports of all nodes are free.
fn free_subnet(count: usize) -> io::Result<String> {
    for attempt in 0..200 {
        let number = id() as usize + attempt * 7;
        let subnet = format!("127.{}.{}", 20 + number / 250 % 200, 1 + number % 250);
        let hosts =
            (10..10 + count).flat_map(|h| [7000, 7001, 8540, 8546, 8547, 8548].map(|p| (h, p)));
        let mut addresses = hosts.chain([(250, 8545)]);
        if addresses
            .all(|(host, port)| TcpListener::bind(format!("{subnet}.{host}:{port}")).is_ok())
        {
            return Ok(subnet);
        }
    }
    Err(io::Error::other("no free addresses"))
}

/// A configuration with one service, a route for orders and one for reads, and one tenant.
pub fn configuration(version: u32, rate: u32, burst: u32) -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout: u32, objective: u32| {
        format!(
            r#"{{"entry_type":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"shop.example","prefix":"{prefix}","type":"{kind}","timeout_s":{timeout},"slo_s":{objective},"priority":1,"service":"{SERVICE}","attempts":2,"public":false}}}}"#
        )
    };
    let orders = route("r-orders", "/order/", "non_idempotent", 4, 2);
    let reads = route("r-reads", "/read/", "idempotent", 12, 6);
    let brief = route("r-brief", "/brief/", "idempotent", 12, 6);
    format!(
        r#"{{"version":"{version:08x}","resources":[{orders},{reads},{brief},{{"entry_type":"services","metadata":{{"name":"{SERVICE}"}},"spec":{{"health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":{COLD_PER_S}}}}},{{"entry_type":"tenants","metadata":{{"name":"alpha"}},"spec":{{"api_keys":["a-key-of-alpha"],"priority":1,"rate_per_s":{rate},"burst":{burst}}}}},{{"entry_type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}]}}"#
    )
}
