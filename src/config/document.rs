//! What a generation of the configuration holds.

use std::{collections::BTreeMap, time::Duration};

use sha2::{Digest as _, Sha256};

value! {
    /// Who may use a route.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Access {
        /// Everyone; no key is asked for and no rate applies.
        Open,
        /// Callers with the key of an organisation, within its rate.
        Keyed,
    }

    /// What decides whether a route's requests may run more than once.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Repeat {
        /// The method.
        #[default]
        Method,
        /// All of them may.
        Always,
        /// None of them may.
        Never,
    }
}

section! {
    /// A data centre, and whether the operators took it out.
    pub struct DataCentre {
        /// The name nodes give in their settings.
        pub name: String,
        /// A drained data centre gets no new work.
        pub drained: bool,
    }

    /// A service, which targets announce themselves for.
    pub struct Service {
        /// The name targets announce.
        pub name: String,
        /// Share of healthy capacity that ejection must leave, 0 to 1.
        pub floor: f64,
        /// Longest time from a request's arrival to the head of its answer, in milliseconds.
        pub timeout_ms: u32,
        /// Share of extra attempts that retries may add to the traffic, 0 to 1.
        pub retry_share: f64,
        /// Extra attempts that may be saved up beyond that share, over the whole fleet; 0 when each
        /// node decides.
        #[serde(default)]
        pub retry_slack: u32,
        /// Connections that one target accepts.
        pub connections: u32,
        /// Requests that may wait at one target for a slot.
        pub queue: u32,
        /// Requests a second that a target bears in a cold start; 0 when no such bound is known.
        #[serde(default)]
        pub cold_rate: f64,
    }

    /// The part of a route's requests that goes to one service.
    pub struct Portion {
        /// The service.
        pub service: String,
        /// Its share, relative to the other portions.
        pub weight: u32,
    }

    /// A route from a host and path prefix to a service.
    pub struct Route {
        /// The host, or `*` for every host.
        pub host: String,
        /// The path prefix, whole segments.
        pub prefix: String,
        /// The service; the first of `split` where there is one.
        pub service: String,
        /// Portions, where requests are spread over several services; else empty.
        #[serde(default)]
        pub split: Vec<Portion>,
        /// Who may use it.
        pub access: Access,
        /// Methods that are idempotent here beyond the standard ones.
        pub idempotent: Vec<String>,
        /// Whether requests may run more than once, whatever their method.
        #[serde(default)]
        pub repeat: Repeat,
        /// Longest time to the head of an answer, in milliseconds; 0 for the service's.
        #[serde(default)]
        pub timeout_ms: u32,
        /// Time within which an answer is worth most, in milliseconds; 0 when none is stated.
        #[serde(default)]
        pub objective_ms: u32,
        /// Targets that one request may be sent to, at most; 0 for the default.
        #[serde(default)]
        pub attempts: u32,
        /// Rank in queues; 0 goes first.
        #[serde(default)]
        pub priority: u32,
        /// Whether answers are large.
        #[serde(default)]
        pub large: bool,
    }

    /// A VM that keeps no rates any more, because its incarnation is taken to be dead.
    pub struct Fence {
        /// The VM's fleet address.
        pub vm: String,
        /// The incarnation that is fenced, and every earlier one.
        pub incarnation: u64,
    }
}

data! {
    /// An organisation with its rate and keys.
    pub struct Organisation {
        /// The name.
        pub name: String,
        /// Requests a second over the whole fleet.
        pub rate: f64,
        /// Requests at once over the whole fleet.
        pub burst: u32,
        /// Share in fair queues, relative to the others.
        pub weight: u32,
        /// Rank in queues, which goes before the route's; 0 goes first.
        pub priority: u32,
        /// Its keys.
        pub keys: Vec<Key>,
        /// Ids of keys that were withdrawn; a file that lists one again is refused.
        pub withdrawn: Vec<String>,
    }

    /// A key, of which only the digest is known.
    pub struct Key {
        /// The public name of the key.
        pub id: String,
        /// SHA-256 of the key.
        pub digest: [u8; 32],
        /// Whether `grant` made it, so that no file lists it.
        pub granted: bool,
    }
}

data! {
    /// One whole generation.
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
        /// Fleet addresses of the VMs that count for freshness, in order.
        pub roster: Vec<String>,
        /// The generation that last changed the roster.
        pub rostered: u64,
    }
}

impl Service {
    /// Longest time from a request's arrival to the head of its answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }
}

impl Document {
    /// Tells whether a data centre is drained; one that no file names is not.
    #[must_use]
    pub fn is_drained(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|d| d.drained)
    }

    /// Tells whether an incarnation of a VM is fenced.
    #[must_use]
    pub fn is_fenced(&self, vm: &str, incarnation: u64) -> bool {
        self.fences
            .get(vm)
            .is_some_and(|f| incarnation <= f.incarnation)
    }
}

/// Returns the hash partition of an organisation among `count`.
///
/// The partition decides both the chunk it is stored in and the keepers of its rate.
#[must_use]
pub fn partition_of(organisation: &str, count: u32) -> u32 {
    let hash = Sha256::digest(organisation.as_bytes());
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]) % count
}
