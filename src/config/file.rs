//! Reads and validates the operators' configuration file, which is JSON with comments.
//!
//! Every field with its unit, default and bounds is described in
//! [docs/CONFIGURATION.md](../../docs/CONFIGURATION.md).

use std::collections::{BTreeMap, BTreeSet, HashSet};

use http::Method;

use crate::{
    config::{
        Access, DataCentre, Digest, Document, Key, Organisation, Portion, Repeat, Route, Service,
        default_health,
    },
    error::Error,
    jsonc::{Fields, Located, Source},
};

const MAX_TIMEOUT_MS: u32 = 600_000;
const DEFAULT_TIMEOUT_MS: u32 = 10_000;
const DEFAULT_FLOOR: f64 = 0.5;
const DEFAULT_RETRY_SHARE: f64 = 0.1;
const DEFAULT_CONNECTIONS: u32 = 300;
const DEFAULT_QUEUE: u32 = 64;
const DEFAULT_COLD_BURST: f64 = 5.0;
const DEFAULT_COLD_MS: u32 = 10_000;
const MAX_ATTEMPTS: u32 = 16;
const MAX_VALUE: u32 = 1_000_000;

/// The declarations of a file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// The declarations as a document.
    pub document: Document,
    /// Data centres for which the file sets `drained`.
    drains_set: BTreeSet<String>,
}

impl Declarations {
    /// Returns the document that replaces `before`. What the file doesn't hold is copied from `before`:
    /// drains that the file doesn't set, granted and withdrawn keys, fences and the roster.
    ///
    /// # Errors
    /// A message when the file lists a key that was withdrawn.
    pub fn apply_to(mut self, before: &Document) -> Result<Document, String> {
        let document = &mut self.document;
        for centre in document.data_centres.values_mut() {
            if !self.drains_set.contains(&centre.name) {
                centre.drained = before.is_drained(&centre.name);
            }
        }
        for organisation in document.organisations.values_mut() {
            if let Some(old) = before.organisations.get(&organisation.name) {
                merge_keys(organisation, old)?;
            }
        }
        document.fences.clone_from(&before.fences);
        document.roster.clone_from(&before.roster);
        document.rostered = before.rostered;
        Ok(self.document)
    }
}

fn merge_keys(organisation: &mut Organisation, old: &Organisation) -> Result<(), String> {
    organisation.withdrawn.clone_from(&old.withdrawn);
    for key in &organisation.keys {
        if old.withdrawn.contains(&key.id) {
            return Err(format!(
                "the file lists key \"{}\", which was withdrawn",
                key.id
            ));
        }
    }
    for key in old.keys.iter().filter(|k| k.granted) {
        if organisation.keys.iter().all(|k| k.id != key.id) {
            organisation.keys.push(key.clone());
        }
    }
    Ok(())
}

/// Validates a file and returns its declarations.
///
/// # Errors
/// [`Error::Findings`] with every mistake in the file, with line and column.
pub fn check(name: &str, text: &str) -> Result<Declarations, Error> {
    let source = Source::new(name, text);
    let declared = source.parse_object().map(|root| read(root, &source));
    source
        .take_findings()
        .into_result(declared.unwrap_or_default())
}

fn read(mut root: Fields<'_>, source: &Source<'_>) -> Declarations {
    let centres = unique(
        source,
        "data centre",
        root.objects("data_centres"),
        data_centre,
    );
    let mut document = Document {
        data_centres: centres
            .iter()
            .map(|(name, drained)| (name.clone(), new_centre(name, *drained)))
            .collect(),
        services: unique(source, "service", root.objects("services"), service),
        organisations: unique(
            source,
            "organisation",
            root.objects("organisations"),
            organisation,
        ),
        ..Document::default()
    };
    if document.services.is_empty() {
        root.add_finding("at least one service must be declared".into());
    }
    document.routes = routes(source, root.objects("routes"), &document.services);
    keys(source, root.objects("keys"), &mut document.organisations);
    root.reject_unknown();
    let drains_set = centres
        .into_iter()
        .filter_map(|(name, drained)| drained.map(|_| name))
        .collect();
    Declarations {
        document,
        drains_set,
    }
}

fn new_centre(name: &str, drained: Option<bool>) -> DataCentre {
    DataCentre {
        name: name.to_owned(),
        drained: drained.unwrap_or(false),
    }
}

/// Reads a list of objects by name; names must be unique.
fn unique<T>(
    source: &Source<'_>,
    kind: &str,
    list: Vec<Fields<'_>>,
    read: fn(&mut Fields<'_>, String) -> T,
) -> BTreeMap<String, T> {
    let mut out = BTreeMap::new();
    for mut fields in list {
        let name = fields.required_string("name");
        let Some(name) = name else {
            fields.reject_unknown();
            continue;
        };
        let item = read(&mut fields, name.value.clone());
        fields.reject_unknown();
        if out.insert(name.value.clone(), item).is_some() {
            source.add(
                name.offset,
                format!("{kind} \"{}\" is declared twice", name.value),
            );
        }
    }
    out
}

fn data_centre(fields: &mut Fields<'_>, _: String) -> Option<bool> {
    fields
        .contains("drained")
        .then(|| fields.boolean("drained", false))
}

fn service(fields: &mut Fields<'_>, name: String) -> Service {
    Service {
        name,
        floor: fields.number("floor", 0.0..=1.0, DEFAULT_FLOOR),
        timeout_ms: fields.integer("timeout_ms", 1..=MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS),
        retry_share: fields.number("retry_share", 0.0..=1.0, DEFAULT_RETRY_SHARE),
        retry_slack: fields.integer("retry_slack", 0..=MAX_VALUE, 0),
        connections: fields.integer("connections", 1..=MAX_VALUE, DEFAULT_CONNECTIONS),
        queue: fields.integer("queue", 0..=MAX_VALUE, DEFAULT_QUEUE),
        stated_slots: fields.boolean("stated_slots", false),
        health: fields
            .string("health")
            .map_or_else(default_health, |t| t.value),
        cold_rate: fields.number("cold_rate", 0.0..=f64::from(MAX_VALUE), 0.0),
        cold_burst: fields.number("cold_burst", 0.0..=f64::from(MAX_VALUE), DEFAULT_COLD_BURST),
        cold_ms: fields.integer("cold_ms", 0..=MAX_TIMEOUT_MS, DEFAULT_COLD_MS),
    }
}

fn organisation(fields: &mut Fields<'_>, name: String) -> Organisation {
    Organisation {
        name,
        rate: fields.number("rate", 0.001..=f64::from(MAX_VALUE), 1.0),
        burst: fields.integer("burst", 1..=MAX_VALUE, 1),
        weight: fields.integer("weight", 1..=1_000, 1),
        priority: fields.integer("priority", 0..=MAX_VALUE, 0),
        keys: Vec::new(),
        withdrawn: Vec::new(),
    }
}

fn routes(
    source: &Source<'_>,
    list: Vec<Fields<'_>>,
    services: &BTreeMap<String, Service>,
) -> Vec<Route> {
    let mut seen = HashSet::new();
    let mut out = Vec::new();
    for mut fields in list {
        let offset = fields.offset();
        let route = route(source, &mut fields, services);
        fields.reject_unknown();
        let Some(route) = route else { continue };
        let pattern = (route.host.clone(), route.prefix.clone());
        if !seen.insert(pattern) {
            let Route { host, prefix, .. } = &route;
            source.add(
                offset,
                format!("route \"{host}{prefix}\" is declared twice"),
            );
        }
        out.push(route);
    }
    out
}

fn route(
    source: &Source<'_>,
    fields: &mut Fields<'_>,
    services: &BTreeMap<String, Service>,
) -> Option<Route> {
    let host = fields
        .string("host")
        .map_or_else(|| "*".to_owned(), |h| h.value.to_ascii_lowercase());
    let prefix = fields.required_string("prefix");
    let split = split(source, fields.objects("split"), services);
    let service = service_of(source, fields, &split, services);
    let access = access(source, fields.string("access"));
    let idempotent = methods(source, fields.strings("idempotent"));
    let repeat = repeat(source, fields.string("repeat"));
    let timeout_ms = fields.integer("timeout_ms", 0..=MAX_TIMEOUT_MS, 0);
    let objective_ms = fields.integer("objective_ms", 0..=MAX_TIMEOUT_MS, 0);
    let attempts = fields.integer("attempts", 0..=MAX_ATTEMPTS, 0);
    let priority = fields.integer("priority", 0..=MAX_VALUE, 0);
    let large = fields.boolean("large", false);
    let (prefix, service) = (prefix?, service?);
    if !is_valid_prefix(&prefix.value) {
        source.add(
            prefix.offset,
            "\"prefix\" must start with / and must not contain braces, ? or #".into(),
        );
        return None;
    }
    Some(Route {
        host,
        prefix: prefix.value,
        service,
        split,
        access,
        idempotent,
        repeat,
        timeout_ms,
        objective_ms,
        attempts,
        priority,
        large,
    })
}

/// Reads the service of a route; for a split route, returns the service of the first portion.
fn service_of(
    source: &Source<'_>,
    fields: &mut Fields<'_>,
    split: &[Portion],
    services: &BTreeMap<String, Service>,
) -> Option<String> {
    if let Some(first) = split.first() {
        if fields.contains("service") {
            fields.add_finding("\"service\" and \"split\" cannot be used together".into());
            fields.string("service");
        }
        return Some(first.service.clone());
    }
    let service = fields.required_string("service")?;
    check_declared(source, &service, services);
    Some(service.value)
}

fn check_declared(
    source: &Source<'_>,
    service: &Located<String>,
    services: &BTreeMap<String, Service>,
) {
    if !services.contains_key(&service.value) {
        source.add(
            service.offset,
            format!("service \"{}\" is not declared", service.value),
        );
    }
}

fn split(
    source: &Source<'_>,
    list: Vec<Fields<'_>>,
    services: &BTreeMap<String, Service>,
) -> Vec<Portion> {
    let mut out = Vec::new();
    for mut fields in list {
        let service = fields.required_string("service");
        let weight = fields.integer("weight", 0..=MAX_VALUE, 1);
        fields.reject_unknown();
        if let Some(service) = service {
            check_declared(source, &service, services);
            out.push(Portion {
                service: service.value,
                weight,
            });
        }
    }
    out
}

fn repeat(source: &Source<'_>, text: Option<Located<String>>) -> Repeat {
    match text {
        None => Repeat::Method,
        Some(t) if t.value == "method" => Repeat::Method,
        Some(t) if t.value == "always" => Repeat::Always,
        Some(t) if t.value == "never" => Repeat::Never,
        Some(t) => {
            let message = "\"repeat\" must be \"method\", \"always\" or \"never\"";
            source.add(t.offset, message.into());
            Repeat::Method
        }
    }
}

fn is_valid_prefix(prefix: &str) -> bool {
    prefix.starts_with('/') && !prefix.contains(['{', '}', '?', '#'])
}

fn access(source: &Source<'_>, text: Option<Located<String>>) -> Access {
    match text {
        None => Access::Keyed,
        Some(t) if t.value == "keyed" => Access::Keyed,
        Some(t) if t.value == "open" => Access::Open,
        Some(t) => {
            source.add(t.offset, "\"access\" must be \"open\" or \"keyed\"".into());
            Access::Keyed
        }
    }
}

fn methods(source: &Source<'_>, list: Vec<Located<String>>) -> Vec<String> {
    for item in &list {
        if Method::from_bytes(item.value.as_bytes()).is_err() {
            source.add(
                item.offset,
                format!("\"{}\" is not a valid HTTP method", item.value),
            );
        }
    }
    list.into_iter().map(|item| item.value).collect()
}

fn keys(
    source: &Source<'_>,
    list: Vec<Fields<'_>>,
    organisations: &mut BTreeMap<String, Organisation>,
) {
    let mut ids = HashSet::new();
    let mut digests = HashSet::new();
    for mut fields in list {
        let id = fields.required_string("id");
        let digest = fields.required_string("digest");
        let owner = fields.required_string("organisation");
        fields.reject_unknown();
        let (Some(id), Some(digest), Some(owner)) = (id, digest, owner) else {
            continue;
        };
        if !ids.insert(id.value.clone()) {
            source.add(id.offset, format!("key \"{}\" is declared twice", id.value));
        }
        let Some(Digest(bytes)) = Digest::parse(&digest.value) else {
            source.add(
                digest.offset,
                "\"digest\" must be 64 hexadecimal digits".into(),
            );
            continue;
        };
        if !digests.insert(bytes) {
            source.add(digest.offset, "another key has the same digest".into());
        }
        match organisations.get_mut(&owner.value) {
            Some(organisation) => organisation.keys.push(Key {
                id: id.value,
                digest: bytes,
                granted: false,
            }),
            None => source.add(
                owner.offset,
                format!("organisation \"{}\" is not declared", owner.value),
            ),
        }
    }
}
