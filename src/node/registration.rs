//! The rows in the platform's table through which starting nodes find the fleet.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, rng};
use tokio::time::sleep;

use crate::{
    node::{Core, Seed},
    platform::Write,
};

/// The prefix of the rows that list the nodes of the fleet.
const VM_PREFIX: &str = "vm/";

/// How often a VM renews its row.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(120);

/// Delay before a failed write is retried, or before the table is searched for other nodes again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Writes this VM's row every [`RENEWAL_INTERVAL`], and reads all rows until other nodes are known. If
/// this VM's row is among those read, it is not written until the next renewal.
pub async fn register(core: Arc<Core>) {
    let mut listed = false;
    loop {
        // A node that knows others learns of the rest through gossip.
        if is_alone(&core) {
            listed |= read_seeds(&core).await;
        }
        if !listed {
            listed = write_row(&core).await;
        }
        let wait = match listed && !is_alone(&core) {
            true => RENEWAL_INTERVAL,
            false => RETRY_DELAY,
        };
        let jitter = rng().random_range(0.8..1.2);
        sleep(wait.mul_f64(jitter)).await;
        // After a whole interval, the row has to be renewed.
        listed &= wait < RENEWAL_INTERVAL;
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
            spdlog::warn!("failed to write this node's row", kv: { error });
            false
        }
    }
}

/// Reads the rows of all VMs, and returns whether this one's is among them.
async fn read_seeds(core: &Core) -> bool {
    let rows = match core.platform.scan(VM_PREFIX).await {
        Ok(rows) => rows,
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("failed to read the rows of other nodes", kv: { error });
            return false;
        }
    };
    let centres = &core.settings.data_centres;
    let seeds: Vec<Seed> = rows
        .into_iter()
        .filter_map(|(key, row)| read_seed(&key, row.value, centres))
        .collect();
    let is_own =
        |seed: &Seed| *seed.address == *core.address && seed.centre == core.settings.data_centre;
    let listed = seeds.iter().any(is_own);
    core.shared().seeds = seeds;
    listed
}

/// Returns the node that a row names, or `None` if another program wrote the row: one without a valid address, or
/// in a data centre that is not among `centres`, unless these are unknown.
fn read_seed(key: &str, centre: String, centres: &[String]) -> Option<Seed> {
    let address = key.strip_prefix(VM_PREFIX)?;
    let valid = address.parse::<SocketAddr>().is_ok_and(|a| a.port() > 0);
    if valid && (centres.is_empty() || centres.contains(&centre)) {
        let address = address.to_owned();
        return Some(Seed { address, centre });
    }
    spdlog::warn!("ignoring a row that names no node", kv: { key, centre = centre.as_str() });
    None
}

fn is_alone(core: &Core) -> bool {
    core.shared().board.vms.len() <= 1
}
