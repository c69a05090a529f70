//! The operator's command line: every change is one generation, whole or not at all.

use std::{
    fs,
    io::stdout,
    time::{Duration, SystemTime},
};

use clap::CommandFactory;
use http::HeaderValue;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    cli::{Command, OperatorArgs, Reach},
    clock::micros_of,
    config::{
        ChangeOutcome, Document, Fence, Key, Operation, apply_change, check, find_operation,
        generate_key, read_head,
    },
    error::Error,
    exit_codes::Exit,
    fleet::{
        Link,
        codec::{StatusReply, StatusRequest, VmStatus},
    },
    platform::{Platform, http_platform},
    policy::fresh::{CLOCK_MARGIN, FRESH_FOR},
    settings::load_secret,
};

/// How long a node is waited for.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// How often the status is read while waiting.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// News of a VM older than this shows that it is silent, in milliseconds.
const SILENT_MS: u32 = 3_000;

/// Runs the command line.
///
/// # Errors
/// [`Error`] that says what was wrong, and whether anything was changed.
pub async fn run(args: &OperatorArgs) -> Result<Exit, Error> {
    let reach = &args.reach;
    match &args.command {
        Command::Check { file } => check_file(file),
        Command::Apply { file, expect } => apply(reach, file, *expect).await,
        Command::Status { operation } => status(reach, operation.as_deref()).await,
        Command::Drain { data_centre } => drain(reach, data_centre, true).await,
        Command::Restore { data_centre } => drain(reach, data_centre, false).await,
        Command::Withdraw { key } => withdraw(reach, key).await,
        Command::Grant { organisation } => grant_key(reach, organisation).await,
        Command::VmGone { vm } => vm_gone(reach, vm).await,
        Command::Completions { shell } => {
            let mut command = OperatorArgs::command();
            clap_complete::generate(*shell, &mut command, "marjoramdyke", &mut stdout());
            Ok(Exit::Success)
        }
    }
}

fn read(path: &str) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn check_file(file: &str) -> Result<Exit, Error> {
    let declared = check(file, &read(file)?)?;
    let Document {
        services,
        routes,
        organisations,
        ..
    } = &declared.document;
    println!(
        "{file}: no mistakes; {} services, {} routes, {} organisations",
        services.len(),
        routes.len(),
        organisations.len()
    );
    Ok(Exit::Success)
}

fn platform(reach: &Reach) -> Result<Platform, Error> {
    let address = reach.platform.as_deref();
    let address = address.ok_or_else(|| Error::Refused("no --platform was given".to_owned()))?;
    Ok(http_platform(address))
}

fn operation() -> Operation {
    let now = micros_of(SystemTime::now());
    let random: u32 = rand::random();
    Operation {
        id: format!("{now}-{random:08x}"),
    }
}

/// Makes a change and reports it; waits until it is in force if that was asked for.
async fn make(
    reach: &Reach,
    edit: impl FnOnce(&mut Document, u64) -> Result<(), String>,
) -> Result<Exit, Error> {
    let platform = platform(reach)?;
    let generation = match apply_change(&platform, &operation(), edit).await? {
        ChangeOutcome::Applied(generation) => {
            println!("applied as generation {generation}");
            generation
        }
        ChangeOutcome::Unchanged(generation) => {
            println!("nothing to change; generation {generation} stands");
            generation
        }
    };
    match reach.wait {
        true => wait(reach, generation).await,
        false => Ok(Exit::Success),
    }
}

async fn apply(reach: &Reach, file: &str, expect: Option<u64>) -> Result<Exit, Error> {
    let declared = check(file, &read(file)?)?;
    let vms: Vec<String> = registered(&platform(reach)?).await?;
    make(reach, |document, generation| {
        if expect.is_some_and(|e| e + 1 != generation) {
            return Err(format!("generation is now {}", generation - 1));
        }
        let first = generation == 1;
        *document = declared.apply_to(document)?;
        if first {
            document.roster = vms;
            document.rostered = generation;
        }
        Ok(())
    })
    .await
}

/// Lists the VMs that registered; the first generation counts them all.
async fn registered(platform: &Platform) -> Result<Vec<String>, Error> {
    let rows = platform.scan("vm/").await?;
    let mut vms: Vec<String> = rows
        .into_iter()
        .filter_map(|(key, _)| key.strip_prefix("vm/").map(str::to_owned))
        .collect();
    vms.sort();
    Ok(vms)
}

async fn drain(reach: &Reach, name: &str, drained: bool) -> Result<Exit, Error> {
    make(reach, |document, _| {
        let centre = document.data_centres.get_mut(name);
        let centre = centre.ok_or_else(|| format!("data centre \"{name}\" is not declared"))?;
        centre.drained = drained;
        Ok(())
    })
    .await
}

async fn withdraw(reach: &Reach, id: &str) -> Result<Exit, Error> {
    make(reach, |document, _| {
        let owner = document
            .organisations
            .values_mut()
            .find(|o| o.keys.iter().any(|k| k.id == id) || o.withdrawn.iter().any(|w| w == id));
        let owner = owner.ok_or_else(|| format!("there is no key \"{id}\""))?;
        if !owner.withdrawn.iter().any(|w| w == id) {
            owner.keys.retain(|k| k.id != id);
            owner.withdrawn.push(id.to_owned());
        }
        Ok(())
    })
    .await
}

async fn grant_key(reach: &Reach, organisation: &str) -> Result<Exit, Error> {
    let key = generate_key();
    let result = make(reach, |document, _| {
        let owner = document.organisations.get_mut(organisation);
        let owner =
            owner.ok_or_else(|| format!("organisation \"{organisation}\" is not declared"))?;
        owner.keys.push(Key {
            id: key.id.clone(),
            digest: key.digest,
            granted: true,
        });
        Ok(())
    })
    .await;
    if !matches!(result, Err(Error::Refused(_) | Error::Platform(_))) {
        println!("key {}: {}", key.id, key.text);
        println!("This is the only time that the key is shown.");
    }
    result
}

async fn vm_gone(reach: &Reach, vm: &str) -> Result<Exit, Error> {
    let known = ask_nodes(reach).await?;
    let known = known.vms.iter().find(|v| v.vm == vm);
    known.ok_or_else(|| Error::Refused(format!("no node knows a VM \"{vm}\"")))?;
    // Keepers are named by the time they began, so this fences all that began before now.
    let incarnation = micros_of(SystemTime::now());
    make(reach, |document, _| {
        let fence = Fence {
            vm: vm.to_owned(),
            incarnation,
        };
        document.fences.insert(vm.to_owned(), fence);
        Ok(())
    })
    .await
}

/// Asks the nodes in turn until one answers.
async fn ask_nodes(reach: &Reach) -> Result<StatusReply, Error> {
    let secret = load_secret(reach.secret_file.as_deref())?;
    let token = HeaderValue::from_str(&secret.token()).map_err(|e| Error::Node {
        node: String::new(),
        reason: e.to_string(),
    })?;
    let mut last = Error::Refused("no --node was given".to_owned());
    for node in &reach.nodes {
        match timeout(NODE_TIMEOUT, ask_node(node, &token)).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => last = error,
            Err(_) => {
                last = Error::Node {
                    node: node.clone(),
                    reason: "no answer in time".to_owned(),
                };
            }
        }
    }
    Err(last)
}

async fn ask_node(node: &str, token: &HeaderValue) -> Result<StatusReply, Error> {
    let failed = |reason: String| Error::Node {
        node: node.to_owned(),
        reason,
    };
    let link = Link::connect(node, None, token)
        .await
        .map_err(|e| failed(e.to_string()))?;
    let reply = link.client(node).status(StatusRequest {}).await;
    Ok(reply.map_err(|e| failed(e.to_string()))?.into_inner())
}

async fn status(reach: &Reach, operation: Option<&str>) -> Result<Exit, Error> {
    if let Some(operation) = operation {
        return find(reach, operation).await;
    }
    let head = match platform(reach) {
        Ok(platform) => read_head(&platform).await.ok().and_then(|(h, _)| h),
        Err(_) => None,
    };
    match &head {
        Some(head) => println!("head: generation {}", head.generation),
        None => println!("head: not known, the platform is away or holds none"),
    }
    if reach.wait {
        let generation = match head {
            Some(head) => head.generation,
            None => ask_nodes(reach).await?.generation,
        };
        return wait(reach, generation).await;
    }
    let reply = ask_nodes(reach).await?;
    let generation = head.map_or(reply.generation, |h| h.generation);
    print_vms(&reply, generation);
    Ok(Exit::Success)
}

async fn find(reach: &Reach, operation: &str) -> Result<Exit, Error> {
    match find_operation(&platform(reach)?, operation).await? {
        Some(generation) => {
            println!("it took effect as generation {generation}");
            Ok(Exit::Success)
        }
        None => {
            println!("it has not taken effect so far");
            Ok(Exit::Refused)
        }
    }
}

/// Waits until a generation is in force, or says where it is not.
async fn wait(reach: &Reach, generation: u64) -> Result<Exit, Error> {
    let give_up = Instant::now() + Duration::from_secs(reach.wait_limit);
    loop {
        let reply = ask_nodes(reach).await;
        if let Ok(reply) = &reply
            && in_force(reply, generation)
        {
            println!("generation {} is in force", reply.generation);
            print_vms(reply, generation);
            return Ok(Exit::Success);
        }
        if Instant::now() >= give_up {
            println!("generation {generation} is not known to be in force");
            print_vms(&reply?, generation);
            return Ok(Exit::Unavailable);
        }
        sleep(LOOK_EVERY).await;
    }
}

/// A generation is in force when a quorum has held it for so long that all others have stopped.
fn in_force(reply: &StatusReply, generation: u64) -> bool {
    let needed = (FRESH_FOR + CLOCK_MARGIN).as_millis();
    reply.generation >= generation && u128::from(reply.confirmed_ms) >= needed
}

fn print_vms(reply: &StatusReply, generation: u64) {
    for vm in &reply.vms {
        println!("{} {}: {}", vm.data_centre, vm.vm, describe(vm, generation));
    }
}

fn describe(vm: &VmStatus, generation: u64) -> String {
    let silent = vm.age_ms > SILENT_MS;
    if vm.generation >= generation && !silent {
        return format!("holds generation {}, {} targets", vm.generation, vm.targets);
    }
    let state = if silent { "silent" } else { "behind" };
    format!("{state}, last known at generation {}", vm.generation)
}
