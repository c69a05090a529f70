//! A node's own settings: JSON with comments plus flags, of which flags go first.
//!
//! Every field is in [docs/CONFIGURATION.md](../../docs/CONFIGURATION.md#settings-of-a-node).

use std::{
    env, fs,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::{
    cli::NodeArgs,
    error::{Error, Findings},
    fleet::Secret,
    jsonc::{Fields, Source},
    policy::share::Excess,
};

/// The environment variable that may hold the fleet secret.
pub const SECRET_VARIABLE: &str = "MARJORAMDYKE_SECRET";

/// How long a shutdown may take where nothing else is set.
const DEFAULT_GRACE_S: f64 = 900.0;

/// How long a caller's connection may rest between requests, or take for the head of one.
const DEFAULT_IDLE_S: f64 = 10.0;

const DEFAULT_FLOOR: f64 = 0.5;
const DEFAULT_RETRY_SHARE: f64 = 0.1;
const LONGEST_S: f64 = 86_400.0;
const MOST: u32 = 1_000_000;

/// What a node is started with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The address by which other nodes reach this one, and by which it is named.
    pub fleet: SocketAddr,
    /// The address it listens on for other nodes.
    pub fleet_listen: SocketAddr,
    /// The address it listens on for callers.
    pub callers: SocketAddr,
    /// The address it listens on for targets and operators of its own VM.
    pub local: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The platform's address.
    pub platform: String,
    /// Addresses of other nodes, to start from when the platform is away.
    pub peers: Vec<String>,
    /// The fleet secret.
    pub secret: Secret,
    /// The service that runs on this VM, which targets are told as the origin of requests.
    pub service: Option<String>,
    /// Where the deployment asks whether the node is ready, if not at `local`.
    pub ready: Option<SocketAddr>,
    /// Where targets of this VM announce themselves, if not at `local`.
    pub announcements: Option<SocketAddr>,
    /// The address of the target on this VM, if the deployment says it.
    pub target: Option<String>,
    /// Data centres of the deployment, over which quotas are divided.
    pub data_centres: Vec<String>,
    /// Requests beyond organisations' rates and bursts that the deployment tolerates.
    pub excess: Excess,
    /// How long a shutdown may take.
    pub grace: Duration,
    /// How long a caller's connection may rest.
    pub idle: Duration,
    /// What holds for services whose configuration does not say it.
    pub defaults: Defaults,
}

data! {
    /// What holds for services whose configuration, in a deployment with a feed, does not say it.
    pub struct Defaults {
        /// Share of healthy capacity that ejection must leave, 0 to 1.
        pub floor: f64,
        /// Share of extra attempts that retries may add to the traffic.
        pub retry_share: f64,
        /// Extra attempts beyond that share that may be saved up over the fleet.
        pub retry_slack: u32,
    }
}

impl Settings {
    /// Returns the address from which it calls other nodes.
    #[must_use]
    pub fn source(&self) -> IpAddr {
        self.fleet_listen.ip()
    }
}

#[derive(Default)]
struct Raw {
    fleet: Option<String>,
    fleet_listen: Option<String>,
    callers: Option<String>,
    local: Option<String>,
    data_centre: Option<String>,
    platform: Option<String>,
    peers: Vec<String>,
    secret_file: Option<String>,
    deployment: Deployed,
}

/// Fields that only the file has.
#[derive(Default)]
struct Deployed {
    service: Option<String>,
    ready: Option<String>,
    announcements: Option<String>,
    target: Option<String>,
    data_centres: Vec<String>,
    quota_slack: f64,
    quota_overage: f64,
    quota_window_s: f64,
    grace_s: f64,
    idle_s: f64,
    floor: f64,
    retry_share: f64,
    retry_slack: u32,
}

fn deployed(fields: &mut Fields<'_>) -> Deployed {
    let mut text = |name: &str| fields.text(name).map(|t| t.value);
    let (service, ready) = (text("service"), text("ready"));
    let (announcements, target) = (text("announcements"), text("target"));
    Deployed {
        service,
        ready,
        announcements,
        target,
        data_centres: fields
            .texts("data_centres")
            .into_iter()
            .map(|t| t.value)
            .collect(),
        quota_slack: fields.number("quota_slack", 0.0..=f64::from(MOST), 0.0),
        quota_overage: fields.number("quota_overage", 0.0..=1.0, 0.0),
        quota_window_s: fields.number("quota_window_s", 0.1..=3600.0, 5.0),
        grace_s: fields.number("grace_s", 0.0..=LONGEST_S, DEFAULT_GRACE_S),
        idle_s: fields.number("idle_s", 1.0..=LONGEST_S, DEFAULT_IDLE_S),
        floor: fields.number("floor", 0.0..=1.0, DEFAULT_FLOOR),
        retry_share: fields.number("retry_share", 0.0..=1.0, DEFAULT_RETRY_SHARE),
        retry_slack: fields.whole("retry_slack", 0..=MOST, 0),
    }
}

/// Returns what holds without a file.
fn without_file() -> Raw {
    Raw {
        deployment: Deployed {
            grace_s: DEFAULT_GRACE_S,
            idle_s: DEFAULT_IDLE_S,
            floor: DEFAULT_FLOOR,
            retry_share: DEFAULT_RETRY_SHARE,
            ..Deployed::default()
        },
        ..Raw::default()
    }
}

/// Reads the settings from the file that the flags name, and from the flags.
///
/// # Errors
/// [`Error::Read`] when a file cannot be read, [`Error::Findings`] with every mistake.
pub fn load(args: &NodeArgs) -> Result<Settings, Error> {
    let mut found = Findings::default();
    let file = match &args.settings {
        None => without_file(),
        Some(path) => {
            let text = read(path)?;
            let source = Source::new(path, &text);
            let raw = source.object().map_or_else(without_file, raw);
            found.0.extend(source.findings().0);
            raw
        }
    };
    let merged = merge(args, file);
    let settings = settle(merged, &mut found)?;
    match settings {
        Some(settings) => found.into_result(settings),
        None => Err(Error::Findings(found)),
    }
}

fn read(path: &str) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn raw(mut fields: Fields<'_>) -> Raw {
    let mut text = |name: &str| fields.text(name).map(|t| t.value);
    let mut raw = Raw {
        fleet: text("fleet"),
        fleet_listen: text("fleet_listen"),
        callers: text("callers"),
        local: text("local"),
        data_centre: text("data_centre"),
        platform: text("platform"),
        secret_file: text("secret_file"),
        peers: Vec::new(),
        deployment: Deployed::default(),
    };
    raw.deployment = deployed(&mut fields);
    raw.peers = fields.texts("peers").into_iter().map(|t| t.value).collect();
    fields.finish();
    raw
}

fn merge(args: &NodeArgs, file: Raw) -> Raw {
    let or = |flag: &Option<String>, file: Option<String>| flag.clone().or(file);
    Raw {
        fleet: or(&args.fleet, file.fleet),
        fleet_listen: or(&args.fleet_listen, file.fleet_listen),
        callers: or(&args.callers, file.callers),
        local: or(&args.local, file.local),
        data_centre: or(&args.data_centre, file.data_centre),
        platform: or(&args.platform, file.platform),
        secret_file: or(&args.secret_file, file.secret_file),
        peers: if args.peers.is_empty() {
            file.peers
        } else {
            args.peers.clone()
        },
        deployment: file.deployment,
    }
}

fn settle(raw: Raw, found: &mut Findings) -> Result<Option<Settings>, Error> {
    let fleet = address("fleet", raw.fleet, found);
    let fleet_listen = match raw.fleet_listen {
        None => fleet,
        listen => address("fleet_listen", listen, found),
    };
    let callers = address("callers", raw.callers, found);
    let local = address("local", raw.local, found);
    let platform = address("platform", raw.platform, found);
    for peer in &raw.peers {
        address("peers", Some(peer.clone()), found);
    }
    if raw.data_centre.is_none() {
        add(found, "data_centre", "is missing");
    }
    let given = raw.deployment;
    let optional = |name, text: Option<String>, found: &mut Findings| match text {
        None => None,
        text => address(name, text, found),
    };
    let ready = optional("ready", given.ready, found);
    let announcements = optional("announcements", given.announcements, found);
    let secret = secret(raw.secret_file.as_deref(), found)?;
    let parts = (fleet, fleet_listen, callers, local);
    let (Some(fleet), Some(fleet_listen), Some(callers), Some(local)) = parts else {
        return Ok(None);
    };
    let (Some(data_centre), Some(platform), Some(secret)) = (raw.data_centre, platform, secret)
    else {
        return Ok(None);
    };
    Ok(Some(Settings {
        fleet,
        fleet_listen,
        callers,
        local,
        data_centre,
        platform: platform.to_string(),
        peers: raw.peers,
        secret,
        service: given.service,
        ready,
        announcements,
        target: given.target,
        data_centres: given.data_centres,
        excess: Excess {
            requests: given.quota_slack,
            share: given.quota_overage,
            window: given.quota_window_s,
        },
        grace: Duration::from_secs_f64(given.grace_s),
        idle: Duration::from_secs_f64(given.idle_s),
        defaults: Defaults {
            floor: given.floor,
            retry_share: given.retry_share,
            retry_slack: given.retry_slack,
        },
    }))
}

fn add(found: &mut Findings, field: &str, message: &str) {
    found.add("settings", format!("\"{field}\" {message}"));
}

fn address(field: &str, text: Option<String>, found: &mut Findings) -> Option<SocketAddr> {
    let Some(text) = text else {
        add(found, field, "is missing");
        return None;
    };
    let parsed = text.parse().ok();
    if parsed.is_none() {
        add(
            found,
            field,
            "must be an IP number and port, like 10.0.0.1:7000",
        );
    }
    parsed
}

/// Reads the secret from its file or the environment; it never comes as an argument.
fn secret(path: Option<&str>, found: &mut Findings) -> Result<Option<Secret>, Error> {
    let text = match path {
        Some(path) => read(path)?,
        None => env::var(SECRET_VARIABLE).unwrap_or_default(),
    };
    match Secret::new(&text) {
        Ok(secret) => Ok(Some(secret)),
        Err(error) => {
            let message = format!("or {SECRET_VARIABLE}: {error}");
            add(found, "secret_file", &message);
            Ok(None)
        }
    }
}

/// Reads the fleet secret for the operator's command line.
///
/// # Errors
/// [`Error::Read`] or [`Error::Findings`] when there is no usable secret.
pub fn load_secret(path: Option<&str>) -> Result<Secret, Error> {
    let mut found = Findings::default();
    match secret(path, &mut found)? {
        Some(secret) => Ok(secret),
        None => Err(Error::Findings(found)),
    }
}
