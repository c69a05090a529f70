//! The board: what this node knows about the VMs, targets, services and data centres of the fleet.

mod view;

use std::{collections::HashMap, sync::Arc};

use slotmap::{SlotMap, new_key_type};

pub use self::view::{Doubt, Load, OwnerView, ServiceView, TargetView, View, VmView, build_view};
use crate::{
    config::Document,
    fleet::codec::{Record, TargetRecord, TargetState},
};

new_key_type! {
    /// Key of a known VM.
    pub struct VmKey;
    /// Key of a data centre that a VM or the configuration names.
    pub struct DataCentreKey;
    /// Key of a service that a target announced.
    pub struct ServiceKey;
    /// Key of a target.
    pub struct TargetKey;
}

/// A VM and its node.
#[derive(Debug, Clone)]
pub struct Vm {
    /// The fleet address, which identifies the VM.
    pub address: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// The incarnation of its node.
    pub incarnation: u64,
    /// The generation of the configuration that its node has.
    pub generation: u64,
    /// Whether its node counts towards the freshness quorum of other nodes.
    pub joined: bool,
    /// Whether its node is shutting down.
    pub leaving: bool,
    /// Slices that its node owns, each as number * partitions + partition.
    pub owned: Vec<u32>,
    /// Whether its node has shown a recent sign of life.
    pub alive: bool,
}

/// A data centre.
#[derive(Debug, Clone)]
pub struct DataCentre {
    /// The name.
    pub name: Arc<str>,
    /// Whether the operators drained it.
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
    /// The target's id, which it chooses itself.
    pub id: Arc<str>,
    /// The VM of the target's egress node.
    pub vm: VmKey,
    /// The service that it belongs to.
    pub service: ServiceKey,
    /// The version of its software; empty if unknown.
    pub version: Arc<str>,
    /// Its state as reported by its egress node.
    pub state: TargetState,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Its typical time to the response head, in milliseconds; 0 while unknown.
    pub latency: u32,
}

/// VMs, data centres, services and targets, which refer to each other by key.
#[derive(Debug, Default)]
pub struct Board {
    /// VMs.
    pub vms: SlotMap<VmKey, Vm>,
    /// Data centres.
    pub data_centres: SlotMap<DataCentreKey, DataCentre>,
    /// Services.
    pub services: SlotMap<ServiceKey, Service>,
    /// Targets.
    pub targets: SlotMap<TargetKey, Target>,
    vm_names: HashMap<Arc<str>, VmKey>,
    centre_names: HashMap<Arc<str>, DataCentreKey>,
    service_names: HashMap<Arc<str>, ServiceKey>,
}

impl Board {
    /// Returns the VM with an address.
    #[must_use]
    pub fn vm(&self, address: &str) -> Option<&Vm> {
        self.vms.get(*self.vm_names.get(address)?)
    }

    /// Returns the key of a data centre, and adds the data centre if it is new.
    pub fn data_centre(&mut self, name: &str) -> DataCentreKey {
        if let Some(key) = self.centre_names.get(name) {
            return *key;
        }
        let name: Arc<str> = name.into();
        let key = self.data_centres.insert(DataCentre {
            name: Arc::clone(&name),
            drained: false,
        });
        self.centre_names.insert(name, key);
        key
    }

    /// Returns the key of a service, and adds the service if it is new.
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

    /// Applies the data centres of a configuration and whether each is drained.
    pub fn apply_drains(&mut self, document: &Document) {
        for name in document.data_centres.keys() {
            self.data_centre(name);
        }
        for data_centre in self.data_centres.values_mut() {
            data_centre.drained = document.is_drained(&data_centre.name);
        }
    }

    /// Sets which data centres are drained, in a deployment whose feed states it.
    pub fn set_drained(&mut self, drained: &[String]) {
        for name in drained {
            self.data_centre(name);
        }
        for data_centre in self.data_centres.values_mut() {
            data_centre.drained = drained.iter().any(|name| **name == *data_centre.name);
        }
    }

    /// Applies the record of a node: replaces its VM and all targets of that VM.
    pub fn apply_record(&mut self, record: &Record) {
        let data_centre = self.data_centre(&record.data_centre);
        let address: Arc<str> = record.vm.as_str().into();
        // A new VM is treated as alive until liveness is checked next.
        let alive = self.vm(&address).is_none_or(|vm| vm.alive);
        let vm = Vm {
            address: Arc::clone(&address),
            data_centre,
            incarnation: record.incarnation,
            generation: record.generation,
            joined: record.joined,
            leaving: record.leaving,
            owned: record.kept.clone(),
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
        self.replace_targets(key, &record.targets);
    }

    fn replace_targets(&mut self, vm: VmKey, records: &[TargetRecord]) {
        self.targets.retain(|_, t| t.vm != vm);
        for record in records {
            let service = self.service(&record.service);
            self.targets.insert(Target {
                id: record.id.as_str().into(),
                vm,
                service,
                version: record.version.as_str().into(),
                state: record.state(),
                slots: record.slots,
                latency: record.latency_ms,
            });
        }
    }

    /// Removes a VM and its targets.
    pub fn remove(&mut self, address: &str) {
        if let Some(key) = self.vm_names.remove(address) {
            self.vms.remove(key);
            self.targets.retain(|_, t| t.vm != key);
        }
    }
}
