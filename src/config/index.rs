//! Lookup tables for the request path, built from one generation of the configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use http::Method;
use matchit::Router;
use rand::Rng;

use crate::config::{
    Access, Document, Organisation, Repeat, Route, Service, digest_key, digests_equal,
};

/// The host of a route that applies to every host.
const ANY_HOST: &str = "*";

/// The router's pattern for any path below a prefix.
const SUBPATH: &str = "{*rest}";

/// The settings of a route that the request path uses.
pub struct RouteRule {
    /// The services and their weights.
    portions: Vec<(Arc<Service>, u32)>,
    /// Which callers may use the route.
    access: Access,
    /// Methods that are idempotent in addition to the standard ones.
    idempotent: Vec<Method>,
    repeat: Repeat,
    timeout: Duration,
    objective: Duration,
    attempts: u32,
    priority: u32,
    large: bool,
}

/// The route that a request matched, and the service chosen for it.
#[derive(Clone)]
pub struct RouteMatch {
    /// The service that the request is sent to.
    pub service: Arc<Service>,
    rule: Arc<RouteRule>,
}

impl RouteMatch {
    /// Returns which callers may use the route.
    #[must_use]
    pub fn access(&self) -> Access {
        self.rule.access
    }

    /// Returns whether requests with a method may be executed more than once on this route.
    #[must_use]
    pub fn is_idempotent(&self, method: &Method) -> bool {
        match self.rule.repeat {
            Repeat::Always => true,
            Repeat::Never => false,
            Repeat::Method => method.is_idempotent() || self.rule.idempotent.contains(method),
        }
    }

    /// Returns the longest time from a request's arrival to the response head.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self.rule.timeout.is_zero() {
            true => self.service.timeout(),
            false => self.rule.timeout,
        }
    }

    /// Returns the latency objective, within which a response is worth most; without one, the
    /// timeout.
    #[must_use]
    pub fn objective(&self) -> Duration {
        match self.rule.objective.is_zero() {
            true => self.timeout(),
            false => self.rule.objective,
        }
    }

    /// Returns to how many targets a request may be sent, if the route limits that.
    #[must_use]
    pub fn attempts(&self) -> Option<u32> {
        (self.rule.attempts > 0).then_some(self.rule.attempts)
    }

    /// Returns whether responses are large, so that sending them between data centres should be
    /// avoided.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.rule.large
    }

    /// Returns the priority in queues; 0 is the highest.
    #[must_use]
    pub fn priority(&self) -> u32 {
        self.rule.priority
    }
}

/// The lookup tables of one generation.
pub struct Index {
    /// The generation.
    pub generation: u64,
    /// The document that the tables were built from.
    pub document: Arc<Document>,
    hosts: HashMap<String, Router<Arc<RouteRule>>>,
    keys: HashMap<[u8; 32], (Arc<Organisation>, usize)>,
    organisations: HashMap<String, Arc<Organisation>>,
    services: HashMap<String, Arc<Service>>,
}

impl Index {
    /// Builds the tables of a document.
    #[must_use]
    pub fn new(generation: u64, document: Arc<Document>) -> Self {
        let services: HashMap<_, _> = document
            .services
            .iter()
            .map(|(name, s)| (name.clone(), Arc::new(s.clone())))
            .collect();
        let organisations: HashMap<_, _> = document
            .organisations
            .iter()
            .map(|(name, o)| (name.clone(), Arc::new(o.clone())))
            .collect();
        let mut keys = HashMap::new();
        for organisation in organisations.values() {
            for (i, key) in organisation.keys.iter().enumerate() {
                keys.insert(key.digest, (Arc::clone(organisation), i));
            }
        }
        Self {
            generation,
            hosts: build_routers(&document.routes, &services),
            document,
            keys,
            organisations,
            services,
        }
    }

    /// Finds the route of a request; routes of its host are tried before those for every host.
    ///
    /// If the route is split, each call chooses one of its services at random by weight.
    #[must_use]
    pub fn route(&self, host: &str, path: &str, rng: &mut impl Rng) -> Option<RouteMatch> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let specific = self.hosts.get(&host.to_ascii_lowercase());
        let rule = specific
            .and_then(|r| r.at(path).ok())
            .or_else(|| self.hosts.get(ANY_HOST)?.at(path).ok())?
            .value;
        Some(RouteMatch {
            service: Arc::clone(pick_weighted(&rule.portions, rng)?),
            rule: Arc::clone(rule),
        })
    }

    /// Finds the organisation that a caller's key belongs to, and the id of the key.
    #[must_use]
    pub fn key(&self, text: &str) -> Option<(&Arc<Organisation>, &str)> {
        let digest = digest_key(text);
        let (organisation, i) = self.keys.get(&digest)?;
        let key = &organisation.keys[*i];
        digests_equal(&key.digest, &digest).then_some((organisation, key.id.as_str()))
    }

    /// Returns whether the key with an id belongs to an organisation.
    #[must_use]
    pub fn has_key(&self, organisation: &str, key: &str) -> bool {
        self.organisations
            .get(organisation)
            .is_some_and(|o| o.keys.iter().any(|k| k.id == key))
    }

    /// Finds an organisation by name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// Chooses a service at random by weight; if all weights are 0, returns the first one.
fn pick_weighted<'s>(
    portions: &'s [(Arc<Service>, u32)],
    rng: &mut impl Rng,
) -> Option<&'s Arc<Service>> {
    let total: u32 = portions.iter().map(|(_, weight)| weight).sum();
    if portions.len() <= 1 || total == 0 {
        return portions.first().map(|(service, _)| service);
    }
    let mut remaining = rng.random_range(0..total);
    for (service, weight) in portions {
        match remaining.checked_sub(*weight) {
            Some(rest) => remaining = rest,
            None => return Some(service),
        }
    }
    None
}

fn build_routers(
    routes: &[Route],
    services: &HashMap<String, Arc<Service>>,
) -> HashMap<String, Router<Arc<RouteRule>>> {
    let mut hosts: HashMap<String, Router<Arc<RouteRule>>> = HashMap::new();
    for route in routes {
        let portions = weighted_services(route, services);
        if portions.is_empty() {
            continue;
        }
        let rule = RouteRule {
            portions,
            access: route.access,
            idempotent: route
                .idempotent
                .iter()
                .filter_map(|m| Method::from_bytes(m.as_bytes()).ok())
                .collect(),
            repeat: route.repeat,
            timeout: Duration::from_millis(u64::from(route.timeout_ms)),
            objective: Duration::from_millis(u64::from(route.objective_ms)),
            attempts: route.attempts,
            priority: route.priority,
            large: route.large,
        };
        let router = hosts.entry(route.host.to_ascii_lowercase()).or_default();
        add_route(router, &route.prefix, &Arc::new(rule));
    }
    hosts
}

fn weighted_services(
    route: &Route,
    services: &HashMap<String, Arc<Service>>,
) -> Vec<(Arc<Service>, u32)> {
    let single = [(&route.service, 1)];
    let split = route.split.iter().map(|p| (&p.service, p.weight));
    let listed: Vec<(&String, u32)> = match route.split.is_empty() {
        true => single.to_vec(),
        false => split.collect(),
    };
    let declared = listed.into_iter().filter_map(|(name, weight)| {
        let service = services.get(name)?;
        Some((Arc::clone(service), weight))
    });
    declared.collect()
}

/// Adds a route that matches all paths below a prefix, and the prefix itself unless it ends with a
/// slash.
fn add_route(router: &mut Router<Arc<RouteRule>>, prefix: &str, rule: &Arc<RouteRule>) {
    let stem = prefix.trim_end_matches('/');
    let mut patterns = vec![format!("{stem}/"), format!("{stem}/{SUBPATH}")];
    if stem.len() == prefix.len() {
        patterns.push(stem.to_owned());
    }
    for pattern in patterns.into_iter().filter(|p| !p.is_empty()) {
        if let Err(error) = router.insert(&pattern, Arc::clone(rule)) {
            // `config::check` rejects such a route; if one gets here, the other routes still work.
            spdlog::error!("invalid route ignored", kv: { pattern, error = error.to_string() });
        }
    }
}
