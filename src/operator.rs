//! The operator's command line. Each change is applied atomically as one generation.

use std::{
    fs,
    io::stdout,
    time::{Duration, SystemTime},
};

use clap::CommandFactory;
use http::HeaderValue;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    cli::{Command, GlobalArgs, OperatorArgs},
    clock::unix_micros,
    config::{
        ChangeOutcome, Document, Fence, Key, Operation, apply_change, check, find_operation,
        generate_key, read_head,
    },
    error::Error,
    exit_codes::Exit,
    fleet::{
        Link, Windows,
        codec::{StatusReply, StatusRequest, VmStatus},
    },
    node::{OWNER_PREFIX, SliceOwner},
    platform::{Platform, http_platform},
    policy::fresh::{CLOCK_MARGIN, FRESH_FOR},
    settings::load_secret,
};

/// Timeout of one query to a node.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between queries of the status while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time in milliseconds since a VM was last known to be alive, after which it counts as silent.
const SILENT_AFTER_MS: u32 = 3_000;

/// Runs a subcommand.
///
/// # Errors
/// [`Error`] with the cause and whether anything was changed.
pub async fn run(args: &OperatorArgs) -> Result<Exit, Error> {
    let global = &args.global;
    match &args.command {
        Command::Check { file } => check_file(file),
        Command::Apply { file, expect } => apply_file(global, file, *expect).await,
        Command::Status { operation } => print_status(global, operation.as_deref()).await,
        Command::Drain { data_centre } => set_drained(global, data_centre, true).await,
        Command::Restore { data_centre } => set_drained(global, data_centre, false).await,
        Command::Withdraw { key } => withdraw_key(global, key).await,
        Command::Grant { organisation } => grant_key(global, organisation).await,
        Command::VmGone { vm } => fence_vm(global, vm).await,
        Command::Completions { shell } => {
            let mut command = OperatorArgs::command();
            clap_complete::generate(*shell, &mut command, "marjoramdyke", &mut stdout());
            Ok(Exit::Success)
        }
    }
}

fn read_file(path: &str) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn check_file(file: &str) -> Result<Exit, Error> {
    let declared = check(file, &read_file(file)?)?;
    let Document {
        services,
        routes,
        organisations,
        ..
    } = &declared.document;
    println!(
        "{file}: no errors; {} services, {} routes, {} organisations",
        services.len(),
        routes.len(),
        organisations.len()
    );
    Ok(Exit::Success)
}

fn connect_platform(global: &GlobalArgs) -> Result<Platform, Error> {
    let address = global.platform.as_deref();
    let address = address.ok_or_else(|| Error::Refused("--platform is required".to_owned()))?;
    Ok(http_platform(address))
}

fn new_operation() -> Operation {
    let now = unix_micros(SystemTime::now());
    let random: u32 = rand::random();
    Operation {
        id: format!("{now}-{random:08x}"),
    }
}

/// Applies a change and prints its generation; waits until it is in force if `--wait` is set.
async fn change(
    global: &GlobalArgs,
    edit: impl FnOnce(&mut Document, u64) -> Result<(), String>,
) -> Result<Exit, Error> {
    let platform = connect_platform(global)?;
    let generation = match apply_change(&platform, &new_operation(), edit).await? {
        ChangeOutcome::Applied(generation) => {
            println!("applied as generation {generation}");
            generation
        }
        ChangeOutcome::Unchanged(generation) => {
            println!("nothing to change; generation {generation} remains current");
            generation
        }
    };
    match global.wait {
        true => wait_in_force(global, generation).await,
        false => Ok(Exit::Success),
    }
}

async fn apply_file(global: &GlobalArgs, file: &str, expect: Option<u64>) -> Result<Exit, Error> {
    let declared = check(file, &read_file(file)?)?;
    let vms: Vec<String> = registered_vms(&connect_platform(global)?).await?;
    change(global, |document, generation| {
        if expect.is_some_and(|e| e + 1 != generation) {
            return Err(format!("generation is now {}", generation - 1));
        }
        let is_first = generation == 1;
        *document = declared.apply_to(document)?;
        if is_first {
            document.roster = vms;
            document.rostered = generation;
        }
        Ok(())
    })
    .await
}

/// Returns the addresses of all registered VMs, which form the roster of the first generation.
async fn registered_vms(platform: &Platform) -> Result<Vec<String>, Error> {
    let rows = platform.scan("vm/").await?;
    let mut vms: Vec<String> = rows
        .into_iter()
        .filter_map(|(key, _)| key.strip_prefix("vm/").map(str::to_owned))
        .collect();
    vms.sort();
    Ok(vms)
}

async fn set_drained(global: &GlobalArgs, name: &str, drained: bool) -> Result<Exit, Error> {
    change(global, |document, _| {
        let centre = document.data_centres.get_mut(name);
        let centre = centre.ok_or_else(|| format!("data centre \"{name}\" is not declared"))?;
        centre.drained = drained;
        Ok(())
    })
    .await
}

async fn withdraw_key(global: &GlobalArgs, id: &str) -> Result<Exit, Error> {
    change(global, |document, _| {
        let organisation = document
            .organisations
            .values_mut()
            .find(|o| o.keys.iter().any(|k| k.id == id) || o.withdrawn.iter().any(|w| w == id));
        let organisation = organisation.ok_or_else(|| format!("key \"{id}\" does not exist"))?;
        if !organisation.withdrawn.iter().any(|w| w == id) {
            organisation.keys.retain(|k| k.id != id);
            organisation.withdrawn.push(id.to_owned());
        }
        Ok(())
    })
    .await
}

async fn grant_key(global: &GlobalArgs, name: &str) -> Result<Exit, Error> {
    let key = generate_key();
    let result = change(global, |document, _| {
        let organisation = document.organisations.get_mut(name);
        let organisation =
            organisation.ok_or_else(|| format!("organisation \"{name}\" is not declared"))?;
        organisation.keys.push(Key {
            id: key.id.clone(),
            digest: key.digest,
            granted: true,
        });
        Ok(())
    })
    .await;
    if !matches!(result, Err(Error::Refused(_) | Error::Platform(_))) {
        println!("key {}: {}", key.id, key.text);
        println!("The key is not shown again.");
    }
    result
}

async fn fence_vm(global: &GlobalArgs, vm: &str) -> Result<Exit, Error> {
    let reply = query_nodes(global).await?;
    let status = reply.vms.iter().find(|v| v.vm == vm);
    let status =
        status.ok_or_else(|| Error::Refused(format!("the node has no record of VM \"{vm}\"")))?;
    let owning = owning_epoch(&connect_platform(global)?, vm).await?;
    let epoch = status.epoch.max(owning);
    change(global, |document, _| {
        let fenced = document.fences.get(vm).map_or(0, |fence| fence.incarnation);
        let fence = Fence {
            vm: vm.to_owned(),
            incarnation: epoch.max(fenced),
        };
        document.fences.insert(vm.to_owned(), fence);
        Ok(())
    })
    .await
}

/// Returns the highest epoch under which a VM owns slices according to the platform's table; 0 if it owns none.
async fn owning_epoch(platform: &Platform, vm: &str) -> Result<u64, Error> {
    let rows = platform.scan(OWNER_PREFIX).await?;
    let owners = rows
        .iter()
        .filter_map(|(_, row)| serde_json::from_str::<SliceOwner>(&row.value).ok());
    let epochs = owners.filter(|owner| owner.vm == vm);
    Ok(epochs.map(|owner| owner.incarnation).max().unwrap_or(0))
}

/// Queries the nodes in turn and returns the first reply.
async fn query_nodes(global: &GlobalArgs) -> Result<StatusReply, Error> {
    let secret = load_secret(global.secret_file.as_deref())?;
    let token = HeaderValue::from_str(&secret.token()).map_err(|e| Error::Node {
        node: String::new(),
        reason: e.to_string(),
    })?;
    let mut last_error = Error::Refused("--node is required".to_owned());
    for node in &global.nodes {
        match timeout(NODE_TIMEOUT, query_node(node, &token)).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => last_error = error,
            Err(_) => {
                last_error = Error::Node {
                    node: node.clone(),
                    reason: "timed out".to_owned(),
                };
            }
        }
    }
    Err(last_error)
}

async fn query_node(node: &str, token: &HeaderValue) -> Result<StatusReply, Error> {
    let node_error = |reason: String| Error::Node {
        node: node.to_owned(),
        reason,
    };
    let link = Link::connect(node, None, token, Windows::default())
        .await
        .map_err(|e| node_error(e.to_string()))?;
    let reply = link.client(node).status(StatusRequest {}).await;
    Ok(reply.map_err(|e| node_error(e.to_string()))?.into_inner())
}

async fn print_status(global: &GlobalArgs, operation: Option<&str>) -> Result<Exit, Error> {
    if let Some(operation) = operation {
        return print_operation(global, operation).await;
    }
    let head = match connect_platform(global) {
        Ok(platform) => read_head(&platform).await.ok().and_then(|(h, _)| h),
        Err(_) => None,
    };
    match &head {
        Some(head) => println!("head: generation {}", head.generation),
        None => println!(
            "head: unknown, because no platform is set, it is unreachable, or it has no head"
        ),
    }
    if global.wait {
        let generation = match head {
            Some(head) => head.generation,
            None => query_nodes(global).await?.generation,
        };
        return wait_in_force(global, generation).await;
    }
    let reply = query_nodes(global).await?;
    let generation = head.map_or(reply.generation, |h| h.generation);
    print_vms(&reply, generation);
    Ok(Exit::Success)
}

/// Prints whether an operation took effect.
async fn print_operation(global: &GlobalArgs, operation: &str) -> Result<Exit, Error> {
    match find_operation(&connect_platform(global)?, operation).await? {
        Some(generation) => {
            println!("the operation took effect as generation {generation}");
            Ok(Exit::Success)
        }
        None => {
            println!("the operation has not taken effect so far");
            Ok(Exit::Refused)
        }
    }
}

/// Waits until a generation is in force or the wait limit has passed, and prints the state of all VMs.
async fn wait_in_force(global: &GlobalArgs, generation: u64) -> Result<Exit, Error> {
    let deadline = Instant::now() + Duration::from_secs(global.wait_limit);
    loop {
        let reply = query_nodes(global).await;
        if let Ok(reply) = &reply
            && in_force(reply, generation)
        {
            println!("generation {} is in force", reply.generation);
            print_vms(reply, generation);
            return Ok(Exit::Success);
        }
        if Instant::now() >= deadline {
            println!("generation {generation} is not known to be in force");
            print_vms(&reply?, generation);
            return Ok(Exit::Unavailable);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether a generation is in force: a quorum has held it for so long that every node without
/// it is no longer fresh.
fn in_force(reply: &StatusReply, generation: u64) -> bool {
    let required = (FRESH_FOR + CLOCK_MARGIN).as_millis();
    reply.generation >= generation && u128::from(reply.confirmed_ms) >= required
}

fn print_vms(reply: &StatusReply, generation: u64) {
    for vm in &reply.vms {
        println!(
            "{} {}: {}",
            vm.data_centre,
            vm.vm,
            describe_vm(vm, generation)
        );
    }
}

fn describe_vm(vm: &VmStatus, generation: u64) -> String {
    let is_silent = vm.age_ms > SILENT_AFTER_MS;
    if vm.generation >= generation && !is_silent {
        return format!("holds generation {}, {} targets", vm.generation, vm.targets);
    }
    let state = if is_silent { "silent" } else { "behind" };
    format!("{state}, last known at generation {}", vm.generation)
}
