//! A generation in the form the request path looks things up in.

use std::{collections::HashMap, sync::Arc, time::Duration};

use http::Method;
use matchit::Router;
use rand::Rng;

use crate::config::{
    Access, Document, Organisation, Repeat, Route, Service, digest_key, digests_equal,
};

const ANY_HOST: &str = "*";
const REST: &str = "{*rest}";

/// What the request path needs to know of a route.
pub struct Rule {
    /// Services and their weights.
    portions: Vec<(Arc<Service>, u32)>,
    /// Who may use the route.
    access: Access,
    /// Methods that are idempotent beyond the standard ones.
    idempotent: Vec<Method>,
    repeat: Repeat,
    timeout: Duration,
    objective: Duration,
    attempts: u32,
    priority: u32,
    large: bool,
}

/// What a request matched.
#[derive(Clone)]
pub struct RouteMatch {
    /// The service that this request goes to.
    pub service: Arc<Service>,
    rule: Arc<Rule>,
}

impl RouteMatch {
    /// Returns who may use the route.
    #[must_use]
    pub fn access(&self) -> Access {
        self.rule.access
    }

    /// Tells whether a method may run more than once here.
    #[must_use]
    pub fn is_idempotent(&self, method: &Method) -> bool {
        match self.rule.repeat {
            Repeat::Always => true,
            Repeat::Never => false,
            Repeat::Method => method.is_idempotent() || self.rule.idempotent.contains(method),
        }
    }

    /// Returns the longest time to the head of an answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self.rule.timeout.is_zero() {
            true => self.service.timeout(),
            false => self.rule.timeout,
        }
    }

    /// Returns the time within which an answer is worth most; the timeout where none is stated.
    #[must_use]
    pub fn objective(&self) -> Duration {
        match self.rule.objective.is_zero() {
            true => self.timeout(),
            false => self.rule.objective,
        }
    }

    /// Returns how many targets a request may be sent to, if the route bounds that.
    #[must_use]
    pub fn attempts(&self) -> Option<u32> {
        (self.rule.attempts > 0).then_some(self.rule.attempts)
    }

    /// Tells whether answers are large, so that they are rather not sent between data centres.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.rule.large
    }

    /// Returns the rank in queues; 0 goes first.
    #[must_use]
    pub fn priority(&self) -> u32 {
        self.rule.priority
    }
}

/// The tables of one generation.
pub struct Index {
    /// The generation.
    pub generation: u64,
    /// What it was made from.
    pub document: Arc<Document>,
    hosts: HashMap<String, Router<Arc<Rule>>>,
    keys: HashMap<[u8; 32], (Arc<Organisation>, usize)>,
    organisations: HashMap<String, Arc<Organisation>>,
    services: HashMap<String, Arc<Service>>,
}

impl Index {
    /// Builds the tables.
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
            hosts: hosts(&document.routes, &services),
            document,
            keys,
            organisations,
            services,
        }
    }

    /// Finds the route of a request; a route with the host goes before one for every host.
    ///
    /// Where a route is split, each call draws one of its services by weight.
    #[must_use]
    pub fn route(&self, host: &str, path: &str, rng: &mut impl Rng) -> Option<RouteMatch> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let own = self.hosts.get(&host.to_ascii_lowercase());
        let rule = own
            .and_then(|r| r.at(path).ok())
            .or_else(|| self.hosts.get(ANY_HOST)?.at(path).ok())?
            .value;
        Some(RouteMatch {
            service: Arc::clone(draw(&rule.portions, rng)?),
            rule: Arc::clone(rule),
        })
    }

    /// Finds the organisation and key id that a caller's key belongs to.
    #[must_use]
    pub fn key(&self, text: &str) -> Option<(&Arc<Organisation>, &str)> {
        let digest = digest_key(text);
        let (organisation, i) = self.keys.get(&digest)?;
        let key = &organisation.keys[*i];
        digests_equal(&key.digest, &digest).then_some((organisation, key.id.as_str()))
    }

    /// Tells whether a key, by its id, still belongs to an organisation.
    #[must_use]
    pub fn has_key(&self, organisation: &str, key: &str) -> bool {
        self.organisations
            .get(organisation)
            .is_some_and(|o| o.keys.iter().any(|k| k.id == key))
    }

    /// Finds an organisation.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// Draws a service by weight.
fn draw<'s>(portions: &'s [(Arc<Service>, u32)], rng: &mut impl Rng) -> Option<&'s Arc<Service>> {
    let total: u32 = portions.iter().map(|(_, weight)| weight).sum();
    if portions.len() <= 1 || total == 0 {
        return portions.first().map(|(service, _)| service);
    }
    let mut left = rng.random_range(0..total);
    for (service, weight) in portions {
        match left.checked_sub(*weight) {
            Some(rest) => left = rest,
            None => return Some(service),
        }
    }
    None
}

fn hosts(
    routes: &[Route],
    services: &HashMap<String, Arc<Service>>,
) -> HashMap<String, Router<Arc<Rule>>> {
    let mut hosts: HashMap<String, Router<Arc<Rule>>> = HashMap::new();
    for route in routes {
        let portions = portions(route, services);
        if portions.is_empty() {
            continue;
        }
        let rule = Rule {
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
        insert(router, &route.prefix, &Arc::new(rule));
    }
    hosts
}

fn portions(route: &Route, services: &HashMap<String, Arc<Service>>) -> Vec<(Arc<Service>, u32)> {
    let one = [(&route.service, 1)];
    let split = route.split.iter().map(|p| (&p.service, p.weight));
    let listed: Vec<(&String, u32)> = match route.split.is_empty() {
        true => one.to_vec(),
        false => split.collect(),
    };
    let known = listed.into_iter().filter_map(|(name, weight)| {
        let service = services.get(name)?;
        Some((Arc::clone(service), weight))
    });
    known.collect()
}

/// Inserts a prefix, which matches itself where it does not end with a slash, and all below it.
fn insert(router: &mut Router<Arc<Rule>>, prefix: &str, rule: &Arc<Rule>) {
    let stem = prefix.trim_end_matches('/');
    let mut patterns = vec![format!("{stem}/"), format!("{stem}/{REST}")];
    if stem.len() == prefix.len() {
        patterns.push(stem.to_owned());
    }
    for pattern in patterns.into_iter().filter(|p| !p.is_empty()) {
        if let Err(error) = router.insert(&pattern, Arc::clone(rule)) {
            // Checks refuse such a route before it gets here; the others still hold.
            spdlog::error!("route left out", kv: { pattern, error = error.to_string() });
        }
    }
}
