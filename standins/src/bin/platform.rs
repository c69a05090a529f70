//! A stand-in for the platform: a transactional table and an object store, with faults on demand.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use clap::Parser;
use serde::{Deserialize, Serialize};
use standins::{Shared, listen, state};
use tokio::time::sleep;
use viz::{
    IntoResponse, Request, RequestExt, Response, ResponseExt, Result, Router, StatusCode,
    types::State,
};

/// Stands in for the platform's table and object store.
#[derive(Parser)]
struct Args {
    /// Listen on this address.
    #[arg(long)]
    listen: SocketAddr,
}

/// A value and the version of the table when it was written.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Row {
    version: u64,
    value: String,
}

/// Faults in effect; at first there are none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Whether every call gets a response with status 503.
    down: bool,
    /// Delay of every response, in milliseconds.
    slow_ms: u64,
    /// Number of further commits that take effect, but get a response with status 504.
    lose_answers: u32,
}

#[derive(Default)]
struct Store {
    rows: BTreeMap<String, Row>,
    objects: HashMap<String, Bytes>,
    version: u64,
    faults: Faults,
    reads: u64,
    writes: u64,
}

type SharedStore = Shared<Store>;

#[derive(Deserialize)]
struct ReadCall {
    key: String,
}

#[derive(Deserialize)]
struct ScanCall {
    prefix: String,
}

#[derive(Deserialize)]
struct CommitCall {
    conditions: Vec<Condition>,
    writes: Vec<Write>,
}

/// Version that a row must have; 0 means that it must not exist.
#[derive(Deserialize)]
struct Condition {
    key: String,
    version: u64,
}

/// New value of a row; no value deletes it.
#[derive(Deserialize)]
struct Write {
    key: String,
    value: Option<String>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let args = Args::parse();
    let router = Router::new()
        .post("/table/read", read)
        .post("/table/scan", scan)
        .post("/table/commit", commit)
        .get("/objects/:name", get_object)
        .put("/objects/:name", put_object)
        .post("/control", set_faults)
        .get("/counts", get_counts)
        .with(State::new(SharedStore::new(Store::default())));
    listen(args.listen, router).await
}

/// Delays or refuses a call according to the faults in effect.
async fn apply_faults(store: &SharedStore) -> Result<()> {
    let faults = store.lock().faults.clone();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE.into_error());
    }
    Ok(())
}

async fn read(mut request: Request) -> Result<Response> {
    let store = state::<Store>(&request)?;
    apply_faults(&store).await?;
    let call: ReadCall = request.json().await?;
    let mut store = store.lock();
    store.reads += 1;
    Ok(Response::json(store.rows.get(&call.key))?)
}

async fn scan(mut request: Request) -> Result<Response> {
    let store = state::<Store>(&request)?;
    apply_faults(&store).await?;
    let call: ScanCall = request.json().await?;
    let mut store = store.lock();
    store.reads += 1;
    let rows: Vec<(&String, &Row)> = store
        .rows
        .range(call.prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&call.prefix))
        .collect();
    Ok(Response::json(rows)?)
}

async fn commit(mut request: Request) -> Result<Response> {
    let store = state::<Store>(&request)?;
    apply_faults(&store).await?;
    let call: CommitCall = request.json().await?;
    let mut store = store.lock();
    let committed = store.commit(call);
    if committed && store.faults.lose_answers > 0 {
        store.faults.lose_answers -= 1;
        return Err(StatusCode::GATEWAY_TIMEOUT.into_error());
    }
    Ok(Response::json(committed)?)
}

impl Store {
    /// Applies all writes if all conditions hold, and returns whether they did.
    fn commit(&mut self, call: CommitCall) -> bool {
        let conditions_hold = call.conditions.iter().all(|c| {
            let version = self.rows.get(&c.key).map_or(0, |r| r.version);
            version == c.version
        });
        if !conditions_hold {
            return false;
        }
        self.writes += 1;
        self.version += 1;
        for write in call.writes {
            match write.value {
                None => {
                    self.rows.remove(&write.key);
                }
                Some(value) => {
                    let version = self.version;
                    self.rows.insert(write.key, Row { version, value });
                }
            }
        }
        true
    }
}

async fn get_object(request: Request) -> Result<Response> {
    let store = state::<Store>(&request)?;
    apply_faults(&store).await?;
    let name: String = request.param("name")?;
    let mut store = store.lock();
    store.reads += 1;
    match store.objects.get(&name) {
        None => Ok(StatusCode::NOT_FOUND.into_response()),
        Some(content) => Ok(content.clone().into_response()),
    }
}

async fn put_object(mut request: Request) -> Result<Response> {
    let store = state::<Store>(&request)?;
    apply_faults(&store).await?;
    let name: String = request.param("name")?;
    let content = request.bytes().await?;
    let mut store = store.lock();
    store.writes += 1;
    store.objects.insert(name, content);
    Ok(StatusCode::OK.into_response())
}

async fn set_faults(mut request: Request) -> Result<Response> {
    let store = state::<Store>(&request)?;
    let faults: Faults = request.json().await?;
    store.lock().faults = faults;
    Ok(StatusCode::OK.into_response())
}

async fn get_counts(request: Request) -> Result<Response> {
    let store = state::<Store>(&request)?;
    let store = store.lock();
    Ok(Response::json((store.reads, store.writes))?)
}
