//! The contents of one generation of the configuration.

use std::{collections::BTreeMap, time::Duration};

use sha2::{Digest as _, Sha256};

use crate::policy::{limit::TargetLimits, pace::ColdStart};

value! {
    /// Which callers may use a route.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Access {
        /// Every caller; no key is required and no rate limit applies.
        Open,
        /// Callers with a key of an organisation, within the organisation's rate.
        Keyed,
    }

    /// What decides whether a request of a route may be executed more than once.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Repeat {
        /// The method: requests with idempotent methods may.
        #[default]
        Method,
        /// All requests may.
        Always,
        /// No request may.
        Never,
    }
}

section! {
    /// A data centre, and whether the operators drained it.
    pub struct DataCentre {
        /// The name, as in the settings of the nodes.
        pub name: String,
        /// Whether it is drained; a drained data centre gets no new requests.
        pub drained: bool,
    }

    /// A service, for which targets announce themselves.
    pub struct Service {
        /// The name, as in the announcements of targets.
        pub name: String,
        /// Share of the slots of warm targets that ejections must leave, 0 to 1.
        pub floor: f64,
        /// Longest time from the arrival of a request to the response head, in milliseconds.
        pub timeout_ms: u32,
        /// Retries that are allowed, as a share of the requests, 0 to 1.
        pub retry_share: f64,
        /// Unused retries that may be saved up beyond that share, over the whole fleet; with 0,
        /// each node keeps a retry budget of its own.
        #[serde(default)]
        pub retry_slack: u32,
        /// Most connections to one target.
        pub connections: u32,
        /// Most requests that may wait for a slot at one target.
        pub queue: u32,
        /// Whether a target can run as many requests at once as the slots that it announces; otherwise each node learns
        /// how many it can run.
        #[serde(default)]
        pub stated_slots: bool,
        /// The path of probes, to which healthy targets respond with success.
        #[serde(default = "default_health")]
        pub health: String,
        /// Requests a second that a target can handle during a cold start; 0 for no known limit.
        #[serde(default)]
        pub cold_rate: f64,
        /// Requests beyond `cold_rate` that may arrive at a cold target within one second.
        #[serde(default)]
        pub cold_burst: f64,
        /// How long a target is cold after its start, in milliseconds.
        #[serde(default)]
        pub cold_ms: u32,
    }

    /// The share of a route's requests that goes to one service.
    pub struct Portion {
        /// The service.
        pub service: String,
        /// The weight, relative to the other portions.
        pub weight: u32,
    }

    /// A route from a host and path prefix to one or more services.
    pub struct Route {
        /// The host, or `*` for every host.
        pub host: String,
        /// The path prefix, which matches whole path segments.
        pub prefix: String,
        /// The service; if `split` is not empty, its first service.
        pub service: String,
        /// The services that requests are distributed over by weight; empty for a single service.
        #[serde(default)]
        pub split: Vec<Portion>,
        /// Which callers may use it.
        pub access: Access,
        /// Methods that are idempotent on this route in addition to the standard ones.
        pub idempotent: Vec<String>,
        /// What decides whether requests may be executed more than once.
        #[serde(default)]
        pub repeat: Repeat,
        /// Longest time to the response head, in milliseconds; 0 for the timeout of the service.
        #[serde(default)]
        pub timeout_ms: u32,
        /// Latency objective, in milliseconds: responses within it are worth most; 0 for none.
        #[serde(default)]
        pub objective_ms: u32,
        /// Most targets that one request may be sent to; 0 for the default.
        #[serde(default)]
        pub attempts: u32,
        /// Priority in queues; 0 is the highest.
        #[serde(default)]
        pub priority: u32,
        /// Whether responses are large.
        #[serde(default)]
        pub large: bool,
    }

    /// A fence against a VM: epochs that are treated as dead and may no longer own rate slices.
    pub struct Fence {
        /// The VM's fleet address.
        pub vm: String,
        /// The highest fenced epoch; all lower ones are fenced too.
        pub incarnation: u64,
    }
}

data! {
    /// An organisation with its rate limit and keys.
    pub struct Organisation {
        /// The name.
        pub name: String,
        /// Requests a second over the whole fleet.
        pub rate: f64,
        /// Requests that may come at once, over the whole fleet.
        pub burst: u32,
        /// Weight in fair queues, relative to other organisations.
        pub weight: u32,
        /// Priority in queues, compared before the priority of the route; 0 is the highest.
        pub priority: u32,
        /// The valid keys.
        pub keys: Vec<Key>,
        /// Ids of withdrawn keys; a file that lists one of them is refused.
        pub withdrawn: Vec<String>,
    }

    /// A key of an organisation, stored as a digest.
    pub struct Key {
        /// The public id of the key.
        pub id: String,
        /// SHA-256 of the key.
        pub digest: [u8; 32],
        /// Whether the `grant` command created it, so that no file lists it.
        pub granted: bool,
    }
}

data! {
    /// The configuration of one generation.
    #[derive(Default)]
    pub struct Document {
        /// Data centres by name.
        pub data_centres: BTreeMap<String, DataCentre>,
        /// Services by name.
        pub services: BTreeMap<String, Service>,
        /// Routes in the order of the file.
        pub routes: Vec<Route>,
        /// Organisations by name.
        pub organisations: BTreeMap<String, Organisation>,
        /// Fences by VM.
        pub fences: BTreeMap<String, Fence>,
        /// Fleet addresses of the VMs whose quorum decides freshness, in order.
        pub roster: Vec<String>,
        /// The generation that last changed the roster.
        pub rostered: u64,
    }
}

/// Returns the path of probes that applies unless a service configures another one.
#[must_use]
pub fn default_health() -> String {
    "/health".to_owned()
}

impl Service {
    /// Returns the longest time from the arrival of a request to the response head.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }

    /// Returns what each target can take.
    #[must_use]
    pub fn target_limits(&self) -> TargetLimits {
        TargetLimits {
            connections: self.connections as usize,
            cold_start: self.cold_start(),
            stated_slots: self.stated_slots,
        }
    }

    /// Returns what a target can take during a cold start.
    #[must_use]
    pub fn cold_start(&self) -> ColdStart {
        ColdStart {
            rate: self.cold_rate,
            burst: self.cold_burst,
            duration: Duration::from_millis(u64::from(self.cold_ms)),
        }
    }
}

impl Document {
    /// Returns whether a data centre is drained; an undeclared one is not.
    #[must_use]
    pub fn is_drained(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|d| d.drained)
    }

    /// Returns whether an epoch of a VM is fenced.
    #[must_use]
    pub fn is_fenced(&self, vm: &str, epoch: u64) -> bool {
        self.fences.get(vm).is_some_and(|f| epoch <= f.incarnation)
    }
}

/// Returns the partition, below `count`, that the name of an organisation hashes to.
///
/// It decides which chunk stores the organisation and which nodes own the slices of its rate.
#[must_use]
pub fn partition_of(organisation: &str, count: u32) -> u32 {
    let hash = Sha256::digest(organisation.as_bytes());
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]) % count
}
