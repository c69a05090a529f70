//! The blackboard: what the node knows of the fleet. Controllers read and write it, never each other.

mod view;

use std::{collections::HashMap, sync::Arc};

use slotmap::{SlotMap, new_key_type};

pub use self::view::{KeeperView, Load, ServiceView, TargetView, View, VmView, render};
use crate::{
    config::Document,
    fleet::codec::{Record, TargetRecord, TargetState},
};

new_key_type! {
    /// A VM that was heard of.
    pub struct VmKey;
    /// A data centre that a VM or the configuration names.
    pub struct DataCentreKey;
    /// A service of the configuration.
    pub struct ServiceKey;
    /// A target that a VM guards.
    pub struct TargetKey;
}

/// A VM with its node.
#[derive(Debug, Clone)]
pub struct Vm {
    /// The fleet address, by which it is named.
    pub address: Arc<str>,
    /// Its data centre.
    pub centre: DataCentreKey,
    /// The incarnation of its node.
    pub incarnation: u64,
    /// The generation its node holds.
    pub generation: u64,
    /// Whether its node counts for others' freshness.
    pub joined: bool,
    /// Whether its node is shutting down.
    pub leaving: bool,
    /// Slices its node keeps, as slice * partitions + partition.
    pub kept: Vec<u32>,
    /// Whether news of it is recent.
    pub alive: bool,
}

/// A data centre.
#[derive(Debug, Clone)]
pub struct Centre {
    /// The name.
    pub name: Arc<str>,
    /// Whether the operators took it out.
    pub drained: bool,
}

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name.
    pub name: Arc<str>,
}

/// A target behind some node of the fleet.
#[derive(Debug, Clone)]
pub struct Target {
    /// The target's own name.
    pub id: Arc<str>,
    /// The VM whose node guards it.
    pub vm: VmKey,
    /// Its service.
    pub service: ServiceKey,
    /// Its state, as its guard says.
    pub state: TargetState,
    /// Requests it takes at once.
    pub slots: u32,
    /// Its typical time to the head of an answer, in milliseconds; 0 while unknown.
    pub latency: u32,
}

/// The arenas.
#[derive(Debug, Default)]
pub struct Board {
    /// VMs.
    pub vms: SlotMap<VmKey, Vm>,
    /// Data centres.
    pub centres: SlotMap<DataCentreKey, Centre>,
    /// Services.
    pub services: SlotMap<ServiceKey, Service>,
    /// Targets.
    pub targets: SlotMap<TargetKey, Target>,
    vm_names: HashMap<Arc<str>, VmKey>,
    centre_names: HashMap<Arc<str>, DataCentreKey>,
    service_names: HashMap<Arc<str>, ServiceKey>,
}

impl Board {
    /// Finds a VM by its address.
    #[must_use]
    pub fn vm(&self, address: &str) -> Option<&Vm> {
        self.vms.get(*self.vm_names.get(address)?)
    }

    /// Finds a data centre, or makes it.
    pub fn centre(&mut self, name: &str) -> DataCentreKey {
        if let Some(key) = self.centre_names.get(name) {
            return *key;
        }
        let name: Arc<str> = name.into();
        let key = self.centres.insert(Centre {
            name: Arc::clone(&name),
            drained: false,
        });
        self.centre_names.insert(name, key);
        key
    }

    /// Finds a service, or makes it.
    pub fn service(&mut self, name: &str) -> ServiceKey {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let name: Arc<str> = name.into();
        let key = self.services.insert(Service {
            name: Arc::clone(&name),
        });
        self.service_names.insert(name, key);
        key
    }

    /// Takes over the drains of a generation.
    pub fn configure(&mut self, document: &Document) {
        for name in document.data_centres.keys() {
            self.centre(name);
        }
        for centre in self.centres.values_mut() {
            centre.drained = document.is_drained(&centre.name);
        }
    }

    /// Takes over which data centres are drained, where the configuration does not say it.
    pub fn drain(&mut self, drained: &[String]) {
        for name in drained {
            self.centre(name);
        }
        for centre in self.centres.values_mut() {
            centre.drained = drained.iter().any(|name| **name == *centre.name);
        }
    }

    /// Takes over what a node says of itself.
    pub fn place(&mut self, record: &Record) {
        let centre = self.centre(&record.data_centre);
        let address: Arc<str> = record.vm.as_str().into();
        let alive = self.vm(&address).is_none_or(|vm| vm.alive);
        let vm = Vm {
            address: Arc::clone(&address),
            centre,
            incarnation: record.incarnation,
            generation: record.generation,
            joined: record.joined,
            leaving: record.leaving,
            kept: record.kept.clone(),
            alive,
        };
        let key = match self.vm_names.get(&address) {
            Some(key) => {
                self.vms[*key] = vm;
                *key
            }
            None => {
                let key = self.vms.insert(vm);
                self.vm_names.insert(address, key);
                key
            }
        };
        self.place_targets(key, &record.targets);
    }

    fn place_targets(&mut self, vm: VmKey, records: &[TargetRecord]) {
        self.targets.retain(|_, t| t.vm != vm);
        for record in records {
            let service = self.service(&record.service);
            self.targets.insert(Target {
                id: record.id.as_str().into(),
                vm,
                service,
                state: record.state(),
                slots: record.slots,
                latency: record.latency_ms,
            });
        }
    }

    /// Forgets a VM and its targets.
    pub fn remove(&mut self, address: &str) {
        if let Some(key) = self.vm_names.remove(address) {
            self.vms.remove(key);
            self.targets.retain(|_, t| t.vm != key);
        }
    }
}
