//! The settings of one node: a file of JSON with comments, and flags, which override the file.
//!
//! Every field is described in
//! [docs/CONFIGURATION.md](../../docs/CONFIGURATION.md#settings-of-a-node).

use std::{
    env, fs,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::{
    cli::NodeArgs,
    error::{Error, Findings},
    fleet::Secret,
    jsonc::{Fields, Located, Source},
    policy::{crossing::Prices, share::Excess},
};

/// The environment variable that holds the fleet secret if no file is given.
pub const SECRET_VARIABLE: &str = "MARJORAMDYKE_SECRET";

/// How long a shutdown may take by default.
const DEFAULT_GRACE_S: f64 = 900.0;

/// How long a caller's connection may be idle between requests, or take to send a request head, by
/// default.
const DEFAULT_IDLE_S: f64 = 10.0;

const DEFAULT_ROLLBACK_S: f64 = 5.0;
const DEFAULT_FLOOR: f64 = 0.5;
const DEFAULT_RETRY_SHARE: f64 = 0.1;
const DEFAULT_COLD_OVERAGE: f64 = 1.5;
const DEFAULT_COLD_SLACK: f64 = 5.0;
const DEFAULT_CROSSING_COST: f64 = 0.02;
const DEFAULT_MEGABYTE_COST: f64 = 0.1;
const MAX_MEGABYTE_COST: f64 = 100.0;
const DEFAULT_LATE_WORTH: f64 = 0.5;
const DEFAULT_ROUND_TRIP_MS: f64 = 5.0;
const MAX_ROUND_TRIP_MS: f64 = 10_000.0;
const MAX_OVERAGE: f64 = 100.0;
const MAX_SECONDS: f64 = 86_400.0;
const MAX_VALUE: u32 = 1_000_000;

/// The validated settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The address at which other nodes reach this one; it is also the name of the VM.
    pub fleet: SocketAddr,
    /// The address to listen on for other nodes.
    pub fleet_listen: SocketAddr,
    /// The address to listen on for callers.
    pub callers: SocketAddr,
    /// The address of the local listener, for targets and operators on the same VM.
    pub local: SocketAddr,
    /// The data centre of the node.
    pub data_centre: String,
    /// The address of the platform.
    pub platform: String,
    /// Addresses of other nodes, through which the node joins if the platform cannot be reached.
    pub peers: Vec<String>,
    /// The fleet secret.
    pub secret: Secret,
    /// The service that runs on this VM; targets receive it as the origin of requests.
    pub service: Option<String>,
    /// The address to listen on for readiness probes, if other than `local`.
    pub ready: Option<SocketAddr>,
    /// The address to listen on for announcements of targets on this VM, if other than `local`.
    pub announcements: Option<SocketAddr>,
    /// The address of the target on this VM, if the deployment specifies it.
    pub target: Option<String>,
    /// Data centres of the deployment, which quotas are divided among.
    pub data_centres: Vec<String>,
    /// How far requests may exceed the rates and bursts of organisations.
    pub excess: Excess,
    /// How long a shutdown may take.
    pub grace: Duration,
    /// How long a caller's connection may be idle between requests, or take to send a request head.
    pub idle: Duration,
    /// Longest time until a change of the configuration is in force, if the deployment bounds it.
    pub change: Option<Duration>,
    /// Bounds of roll-outs, if the deployment has any.
    pub rollout: Option<RolloutBounds>,
    /// Memory of the node in bytes, if it bounds what the node holds for callers and targets.
    pub memory: Option<usize>,
    /// What the deployment calls for, in the words of its platform.
    pub features: Vec<String>,
    /// Prices by which requests leave the data centre, if they don't by fixed shares.
    pub crossing: Option<Prices>,
    /// Defaults for services whose configuration omits these fields.
    pub defaults: Defaults,
}

data! {
    /// What a bad version of a service may do.
    #[derive(Copy)]
    pub struct RolloutBounds {
        /// Share of the requests to the service that it may get, above 0 to 1.
        pub exposure: f64,
        /// Requests that it may get in addition.
        pub slack: u32,
        /// Longest time until it gets no requests, after enough answers have shown that it is bad.
        pub rollback: Duration,
    }
}

data! {
    /// Defaults for services whose configuration, in a deployment with a feed, omits these fields.
    pub struct Defaults {
        /// Share of the slots of warm targets that ejections must leave, 0 to 1.
        pub floor: f64,
        /// Retries that are allowed, as a share of the requests, 0 to 1.
        pub retry_share: f64,
        /// Unused retries that may be saved up beyond that share, over the whole fleet.
        pub retry_slack: u32,
        /// The requests that a cold target can take within one second, as a multiple of its cold rate.
        pub cold_overage: f64,
        /// Requests that a cold target can take within one second in addition.
        pub cold_slack: f64,
    }
}

impl Settings {
    /// Returns the local address from which the node connects to other nodes.
    #[must_use]
    pub fn source(&self) -> IpAddr {
        self.fleet_listen.ip()
    }
}

/// The settings before validation.
#[derive(Default)]
struct RawSettings {
    fleet: Option<String>,
    fleet_listen: Option<String>,
    callers: Option<String>,
    local: Option<String>,
    data_centre: Option<String>,
    platform: Option<String>,
    peers: Vec<String>,
    secret_file: Option<String>,
    file_only: FileSettings,
}

/// Settings that have no flag.
#[derive(Default)]
struct FileSettings {
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
    change_s: f64,
    exposure: f64,
    exposure_slack: u32,
    rollback_s: f64,
    memory_mb: u32,
    features: Vec<String>,
    crossing: Option<Prices>,
    floor: f64,
    retry_share: f64,
    retry_slack: u32,
    cold_overage: f64,
    cold_slack: f64,
}

fn texts(found: Vec<Located<String>>) -> Vec<String> {
    found.into_iter().map(|t| t.value).collect()
}

fn read_file_settings(fields: &mut Fields<'_>) -> FileSettings {
    let mut text = |name: &str| fields.string(name).map(|t| t.value);
    let (service, ready) = (text("service"), text("ready"));
    let (announcements, target) = (text("announcements"), text("target"));
    FileSettings {
        service,
        ready,
        announcements,
        target,
        data_centres: texts(fields.strings("data_centres")),
        quota_slack: fields.number("quota_slack", 0.0..=f64::from(MAX_VALUE), 0.0),
        quota_overage: fields.number("quota_overage", 0.0..=1.0, 0.0),
        quota_window_s: fields.number("quota_window_s", 0.1..=3600.0, 5.0),
        grace_s: fields.number("grace_s", 0.0..=MAX_SECONDS, DEFAULT_GRACE_S),
        idle_s: fields.number("idle_s", 1.0..=MAX_SECONDS, DEFAULT_IDLE_S),
        change_s: fields.number("change_s", 0.0..=MAX_SECONDS, 0.0),
        exposure: fields.number("exposure", 0.0..=1.0, 0.0),
        exposure_slack: fields.integer("exposure_slack", 0..=MAX_VALUE, 0),
        rollback_s: fields.number("rollback_s", 0.1..=MAX_SECONDS, DEFAULT_ROLLBACK_S),
        memory_mb: fields.integer("memory_mb", 0..=MAX_VALUE, 0),
        features: texts(fields.strings("features")),
        crossing: fields.object("crossing").map(read_prices),
        floor: fields.number("floor", 0.0..=1.0, DEFAULT_FLOOR),
        retry_share: fields.number("retry_share", 0.0..=1.0, DEFAULT_RETRY_SHARE),
        retry_slack: fields.integer("retry_slack", 0..=MAX_VALUE, 0),
        cold_overage: fields.number("cold_overage", 1.0..=MAX_OVERAGE, DEFAULT_COLD_OVERAGE),
        cold_slack: fields.number("cold_slack", 0.0..=f64::from(MAX_VALUE), DEFAULT_COLD_SLACK),
    }
}

fn read_prices(mut fields: Fields<'_>) -> Prices {
    let round_trip = fields.number(
        "round_trip_ms",
        0.0..=MAX_ROUND_TRIP_MS,
        DEFAULT_ROUND_TRIP_MS,
    );
    let prices = Prices {
        crossing: fields.number("cost", 0.0..=1.0, DEFAULT_CROSSING_COST),
        megabyte: fields.number(
            "megabyte_cost",
            0.0..=MAX_MEGABYTE_COST,
            DEFAULT_MEGABYTE_COST,
        ),
        late: fields.number("late_worth", 0.0..=1.0, DEFAULT_LATE_WORTH),
        round_trip: Duration::from_secs_f64(round_trip / 1e3),
    };
    fields.reject_unknown();
    prices
}

/// Returns the settings that apply without a file.
fn default_settings() -> RawSettings {
    RawSettings {
        file_only: FileSettings {
            grace_s: DEFAULT_GRACE_S,
            idle_s: DEFAULT_IDLE_S,
            rollback_s: DEFAULT_ROLLBACK_S,
            floor: DEFAULT_FLOOR,
            retry_share: DEFAULT_RETRY_SHARE,
            cold_overage: DEFAULT_COLD_OVERAGE,
            cold_slack: DEFAULT_COLD_SLACK,
            ..FileSettings::default()
        },
        ..RawSettings::default()
    }
}

/// Loads the settings from the flags and from the file that the flags name, if any.
///
/// # Errors
/// [`Error::Read`] when a file cannot be read, [`Error::Findings`] with all mistakes.
pub fn load(args: &NodeArgs) -> Result<Settings, Error> {
    let mut findings = Findings::default();
    let file = match &args.settings {
        None => default_settings(),
        Some(path) => {
            let text = read(path)?;
            let source = Source::new(path, &text);
            let raw = source
                .parse_object()
                .map_or_else(default_settings, read_settings);
            findings.0.extend(source.take_findings().0);
            raw
        }
    };
    let merged = merge(args, file);
    let settings = validate(merged, &mut findings)?;
    match settings {
        Some(settings) => findings.into_result(settings),
        None => Err(Error::Findings(findings)),
    }
}

fn read(path: &str) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn read_settings(mut fields: Fields<'_>) -> RawSettings {
    let mut text = |name: &str| fields.string(name).map(|t| t.value);
    let mut raw = RawSettings {
        fleet: text("fleet"),
        fleet_listen: text("fleet_listen"),
        callers: text("callers"),
        local: text("local"),
        data_centre: text("data_centre"),
        platform: text("platform"),
        secret_file: text("secret_file"),
        peers: Vec::new(),
        file_only: FileSettings::default(),
    };
    raw.file_only = read_file_settings(&mut fields);
    raw.peers = fields
        .strings("peers")
        .into_iter()
        .map(|t| t.value)
        .collect();
    fields.reject_unknown();
    raw
}

fn merge(args: &NodeArgs, file: RawSettings) -> RawSettings {
    let flag_or = |flag: &Option<String>, file: Option<String>| flag.clone().or(file);
    RawSettings {
        fleet: flag_or(&args.fleet, file.fleet),
        fleet_listen: flag_or(&args.fleet_listen, file.fleet_listen),
        callers: flag_or(&args.callers, file.callers),
        local: flag_or(&args.local, file.local),
        data_centre: flag_or(&args.data_centre, file.data_centre),
        platform: flag_or(&args.platform, file.platform),
        secret_file: flag_or(&args.secret_file, file.secret_file),
        peers: if args.peers.is_empty() {
            file.peers
        } else {
            args.peers.clone()
        },
        file_only: file.file_only,
    }
}

fn validate(raw: RawSettings, findings: &mut Findings) -> Result<Option<Settings>, Error> {
    let fleet = address("fleet", raw.fleet, findings);
    let fleet_listen = match raw.fleet_listen {
        None => fleet,
        listen => address("fleet_listen", listen, findings),
    };
    let callers = address("callers", raw.callers, findings);
    let local = address("local", raw.local, findings);
    let platform = address("platform", raw.platform, findings);
    for peer in &raw.peers {
        address("peers", Some(peer.clone()), findings);
    }
    if raw.data_centre.is_none() {
        add_finding(findings, "data_centre", "is missing");
    }
    let file = raw.file_only;
    let optional = |name, text: Option<String>, findings: &mut Findings| match text {
        None => None,
        text => address(name, text, findings),
    };
    let ready = optional("ready", file.ready, findings);
    let announcements = optional("announcements", file.announcements, findings);
    let secret = secret(raw.secret_file.as_deref(), findings)?;
    let listeners = (fleet, fleet_listen, callers, local);
    let (Some(fleet), Some(fleet_listen), Some(callers), Some(local)) = listeners else {
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
        service: file.service,
        ready,
        announcements,
        target: file.target,
        data_centres: file.data_centres,
        excess: Excess {
            requests: file.quota_slack,
            fraction: file.quota_overage,
            window: file.quota_window_s,
        },
        grace: Duration::from_secs_f64(file.grace_s),
        idle: Duration::from_secs_f64(file.idle_s),
        memory: (file.memory_mb > 0).then_some((file.memory_mb as usize) << 20),
        features: file.features,
        crossing: file.crossing,
        change: (file.change_s > 0.0).then(|| Duration::from_secs_f64(file.change_s)),
        rollout: (file.exposure > 0.0).then(|| RolloutBounds {
            exposure: file.exposure,
            slack: file.exposure_slack,
            rollback: Duration::from_secs_f64(file.rollback_s),
        }),
        defaults: Defaults {
            floor: file.floor,
            retry_share: file.retry_share,
            retry_slack: file.retry_slack,
            cold_overage: file.cold_overage,
            cold_slack: file.cold_slack,
        },
    }))
}

fn add_finding(findings: &mut Findings, field: &str, message: &str) {
    findings.add("settings", format!("\"{field}\" {message}"));
}

fn address(field: &str, text: Option<String>, findings: &mut Findings) -> Option<SocketAddr> {
    let Some(text) = text else {
        add_finding(findings, field, "is missing");
        return None;
    };
    let parsed = text.parse().ok();
    if parsed.is_none() {
        add_finding(
            findings,
            field,
            "must be an IP address and port, like 10.0.0.1:7000",
        );
    }
    parsed
}

/// Reads the secret from a file, or from the environment if no file is given; it cannot be given as an
/// argument.
fn secret(path: Option<&str>, findings: &mut Findings) -> Result<Option<Secret>, Error> {
    let text = match path {
        Some(path) => read(path)?,
        None => env::var(SECRET_VARIABLE).unwrap_or_default(),
    };
    match Secret::new(&text) {
        Ok(secret) => Ok(Some(secret)),
        Err(error) => {
            let message = format!("or {SECRET_VARIABLE}: {error}");
            add_finding(findings, "secret_file", &message);
            Ok(None)
        }
    }
}

/// Loads the fleet secret for the operator's command line.
///
/// # Errors
/// [`Error::Read`] when the file cannot be read, [`Error::Findings`] when there is no usable
/// secret.
pub fn load_secret(path: Option<&str>) -> Result<Secret, Error> {
    let mut findings = Findings::default();
    match secret(path, &mut findings)? {
        Some(secret) => Ok(secret),
        None => Err(Error::Findings(findings)),
    }
}
