//! The row by which newcomers find this node, and the rows of others.

use std::{sync::Arc, time::Duration};

use rand::{Rng, rng};
use tokio::time::sleep;

use crate::{
    node::{Core, Seed},
    platform::Write,
};

/// The prefix of rows by which newcomers find the fleet.
const VM_PREFIX: &str = "vm/";

/// How often a VM renews its row.
const RENEW_EVERY: Duration = Duration::from_secs(120);

/// How long a node waits before it tries again what failed, or looks again for others.
const TRY_AGAIN: Duration = Duration::from_secs(1);

/// Writes this VM's row now and then, unless it is there, and reads those of others until some are known.
pub async fn register(core: Arc<Core>) {
    let mut listed = false;
    loop {
        // A node that knows others hears of the rest from them.
        if is_alone(&core) {
            listed |= look_up(&core).await;
        }
        if !listed {
            listed = write_row(&core).await;
        }
        let wait = match listed && !is_alone(&core) {
            true => RENEW_EVERY,
            false => TRY_AGAIN,
        };
        let jitter = rng().random_range(0.8..1.2);
        sleep(wait.mul_f64(jitter)).await;
        listed &= wait < RENEW_EVERY;
    }
}

async fn write_row(core: &Core) -> bool {
    let write = Write {
        key: format!("{VM_PREFIX}{}", core.address),
        value: Some(core.settings.data_centre.clone()),
    };
    match core.platform.commit(Vec::new(), vec![write]).await {
        Ok(_) => true,
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("own row not written", kv: { error });
            false
        }
    }
}

/// Reads the rows of all VMs, and tells whether this one's is among them.
async fn look_up(core: &Core) -> bool {
    let rows = match core.platform.scan(VM_PREFIX).await {
        Ok(rows) => rows,
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("rows of others not read", kv: { error });
            return false;
        }
    };
    let seeds = rows.into_iter().filter_map(|(key, row)| {
        let address = key.strip_prefix(VM_PREFIX)?.to_owned();
        let centre = row.value;
        Some(Seed { address, centre })
    });
    let seeds: Vec<Seed> = seeds.collect();
    let own =
        |seed: &Seed| *seed.address == *core.address && seed.centre == core.settings.data_centre;
    let listed = seeds.iter().any(own);
    core.shared().seeds = seeds;
    listed
}

fn is_alone(core: &Core) -> bool {
    core.shared().board.vms.len() <= 1
}
