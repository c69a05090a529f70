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

/// Writes this VM's row now and then, and reads those of others until some are known.
pub async fn register(core: Arc<Core>) {
    loop {
        let row = format!("{VM_PREFIX}{}", core.address);
        let write = Write {
            key: row,
            value: Some(core.settings.centre.clone()),
        };
        let written = core.platform.commit(Vec::new(), vec![write]).await;
        if let Err(error) = &written {
            let error = error.to_string();
            spdlog::warn!("own row not written", kv: { error });
        }
        // A node that knows others hears of the rest from them.
        if is_alone(&core) {
            look_up(&core).await;
        }
        let wait = match written.is_ok() && !is_alone(&core) {
            true => RENEW_EVERY,
            false => TRY_AGAIN,
        };
        let jitter = rng().random_range(0.8..1.2);
        sleep(wait.mul_f64(jitter)).await;
    }
}

async fn look_up(core: &Core) {
    match core.platform.scan(VM_PREFIX).await {
        Ok(rows) => {
            let seeds = rows.into_iter().filter_map(|(key, row)| {
                let address = key.strip_prefix(VM_PREFIX)?.to_owned();
                let centre = row.value;
                Some(Seed { address, centre })
            });
            core.shared().seeds = seeds.collect();
        }
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("rows of others not read", kv: { error });
        }
    }
}

fn is_alone(core: &Core) -> bool {
    core.shared().board.vms.len() <= 1
}
