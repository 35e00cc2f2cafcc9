//! A fake of the platform's store, as far as the program uses it: items, revisions, leases and watches over HTTP.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gypsumkeel::http::server::Handler;
use gypsumkeel::runtime;
use http_types::{Method, Request, Response};
use serde_json::{Value, json};
use smol::Timer;

use super::serve;

/// The interval at which a watch checks for changes.
const CHECK_EVERY: Duration = Duration::from_millis(5);

/// The fake store.
#[derive(Debug)]
pub struct Kv {
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    items: Mutex<Items>,
    /// Whether every call gets status 503.
    down: Mutex<bool>,
    /// The number of next writes that take effect but get no response.
    lost: Mutex<u32>,
    /// If set, writes get no response and take effect after this delay.
    delay: Mutex<Option<Duration>>,
}

#[derive(Debug, Default)]
struct Items {
    revision: u64,
    by_key: BTreeMap<String, Item>,
    /// The revision at which each removed key was removed.
    removed: BTreeMap<String, u64>,
    /// The end and the duration of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// The revision up to which the history has been dropped.
    compacted: u64,
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

impl Kv {
    pub fn start() -> Self {
        let state = Arc::<State>::default();
        let address = serve(Arc::new(Api(Arc::clone(&state))));
        Self { address, state }
    }

    /// Writes a key as an operator or a worker would.
    pub fn put(&self, key: &str, value: &Value) {
        let mut items = self.state.items.lock().unwrap();
        items.put(key, STANDARD.encode(value.to_string()), 0);
    }

    /// Writes a key with the text that stands for its value, which need not be valid base64.
    pub fn put_encoded(&self, key: &str, text: &str) {
        self.state.items.lock().unwrap().put(key, text.to_owned(), 0);
    }

    pub fn remove(&self, key: &str) {
        self.state.items.lock().unwrap().remove(key);
    }

    pub fn set_down(&self, down: bool) {
        *self.state.down.lock().unwrap() = down;
    }

    /// Applies the next `writes` writes without responding to them.
    pub fn lose_responses(&self, writes: u32) {
        *self.state.lost.lock().unwrap() = writes;
    }

    /// Applies writes after a delay and without a response; `None` restores normal service.
    pub fn delay_writes(&self, delay: Option<Duration>) {
        *self.state.delay.lock().unwrap() = delay;
    }

    /// Drops the history: watches from earlier revisions get status 410.
    pub fn compact(&self) {
        let mut items = self.state.items.lock().unwrap();
        items.revision += 1;
        items.compacted = items.revision;
    }

    /// The value of a key in JSON; `None` if the key does not exist or its value is not valid.
    pub fn value(&self, key: &str) -> Option<Value> {
        let items = self.state.items.lock().unwrap();
        let bytes = STANDARD.decode(&items.by_key.get(key)?.value).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// The keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut items = self.state.items.lock().unwrap();
        items.expire();
        items.by_key.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }
}

impl Items {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        self.removed.remove(key);
        let item = Item { value, revision: self.revision, lease };
        self.by_key.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.by_key.remove(key).is_some() {
            self.revision += 1;
            self.removed.insert(key.to_owned(), self.revision);
        }
    }

    /// Removes the keys of lapsed leases.
    fn expire(&mut self) {
        let now = Instant::now();
        let lapsed = self.leases.extract_if(|_, (end, _)| *end <= now);
        let lapsed = lapsed.map(|(lease, _)| lease).collect::<Vec<_>>();
        let expired = self.by_key.iter().filter(|(_, item)| lapsed.contains(&item.lease));
        for key in expired.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.remove(&key);
        }
    }

    /// The items with a prefix that changed after a revision.
    fn changed(&self, prefix: &str, after: u64) -> Vec<Value> {
        let known = self.by_key.range(prefix.to_owned()..);
        let known = known.take_while(|(key, _)| key.starts_with(prefix));
        let items = known.filter(|(_, item)| item.revision > after);
        let items = items.map(|(key, item)| {
            json!({ "key": key, "value": item.value, "rev": item.revision,
                    "createdRev": item.revision, "lease": item.lease })
        });
        items.collect()
    }

    /// Whether each key that a transaction expects has the revision of its last change; 0 if it does not exist.
    fn meets(&self, expected: &Value) -> bool {
        let mut expected = expected.as_array().into_iter().flatten();
        expected.all(|row| {
            let item = self.by_key.get(row["key"].as_str().unwrap());
            Some(item.map_or(0, |item| item.revision)) == row["rev"].as_u64()
        })
    }

    /// The removals of keys with a prefix after a revision.
    fn removed(&self, prefix: &str, after: u64) -> Vec<Value> {
        let removed =
            self.removed.iter().filter(|(key, rev)| key.starts_with(prefix) && **rev > after);
        removed.map(|(key, rev)| json!({ "key": key, "rev": rev, "removed": true })).collect()
    }
}

#[derive(Debug)]
struct Api(Arc<State>);

impl Handler for Api {
    fn answer(
        self: Arc<Self>,
        mut request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            if *self.0.down.lock().unwrap() {
                return Response::new(503);
            }
            let body = request.body_string().await.unwrap_or_default();
            let body = serde_json::from_str::<Value>(&body).unwrap_or_default();
            let query = request.url().query_pairs().into_owned().collect::<HashMap<_, _>>();
            let path = request.url().path().to_owned();
            match (request.method(), path.as_str()) {
                (Method::Get, "/api/kv-watch") => self.watch(&query).await,
                (Method::Post, _) => self.write(&path, &body).await,
                _ => self.read(&path, &query),
            }
        })
    }

    fn body_max(&self) -> u64 {
        1 << 20
    }
}

impl Api {
    fn read(&self, path: &str, query: &HashMap<String, String>) -> Response {
        let mut items = self.0.items.lock().unwrap();
        items.expire();
        let as_of = items.revision;
        match path {
            "/api/kv-range" => {
                let after = query.get("after").cloned().unwrap_or_default();
                let found = items.changed(&query["prefix"], 0).into_iter();
                let found = found.filter(|item| item["key"].as_str() > Some(after.as_str()));
                let mut found = found.collect::<Vec<_>>();
                let truncated = found.len() > 500;
                found.truncate(500);
                answer(200, &json!({ "items": found, "truncated": truncated, "asOf": as_of }))
            }
            "/api/kv-key" => {
                let key = &query["key"];
                let found = items.changed(key, 0).into_iter().find(|item| item["key"] == **key);
                found.map_or_else(|| Response::new(404), |item| answer(200, &item))
            }
            _ => Response::new(404),
        }
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Response {
        let number = |name: &str| query[name].parse::<u64>().unwrap();
        let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut items = self.0.items.lock().unwrap();
                items.expire();
                if after < items.compacted {
                    return Response::new(410);
                }
                let mut events = items.changed(&query["prefix"], after);
                events.extend(items.removed(&query["prefix"], after));
                events.sort_by_key(|event| event["rev"].as_u64());
                if !events.is_empty() || Instant::now() >= deadline || *self.0.down.lock().unwrap()
                {
                    return answer(200, &json!({ "events": events, "asOf": items.revision }));
                }
            }
            Timer::after(CHECK_EVERY).await;
        }
    }

    async fn write(self: Arc<Self>, path: &str, body: &Value) -> Response {
        let delay = *self.0.delay.lock().unwrap();
        if let Some(delay) = delay {
            let (path, body) = (path.to_owned(), body.clone());
            runtime::spawn(async move {
                Timer::after(delay).await;
                drop(self.apply(&path, &body));
            })
            .detach();
            return smol::future::pending().await;
        }
        let response = self.apply(path, body);
        let is_lost = {
            let mut lost = self.0.lost.lock().unwrap();
            let is_lost = *lost > 0 && path == "/api/kv-txn";
            *lost = lost.saturating_sub(u32::from(is_lost));
            is_lost
        };
        if is_lost {
            smol::future::pending::<()>().await;
        }
        response
    }

    fn apply(&self, path: &str, body: &Value) -> Response {
        let mut items = self.0.items.lock().unwrap();
        items.expire();
        match path {
            "/api/kv-lease" => {
                items.next_lease += 1;
                let lease = items.next_lease;
                let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap());
                items.leases.insert(lease, (Instant::now() + ttl, ttl));
                answer(200, &json!({ "lease": lease, "ttlMs": body["ttlMs"] }))
            }
            "/api/kv-txn" if !items.meets(&body["expect"]) => Response::new(412),
            "/api/kv-txn" => {
                for put in body["puts"].as_array().unwrap() {
                    let lease = put["lease"].as_u64().unwrap_or(0);
                    if lease > 0 && !items.leases.contains_key(&lease) {
                        return Response::new(404);
                    }
                    let value = put["value"].as_str().unwrap().to_owned();
                    items.put(put["key"].as_str().unwrap(), value, lease);
                }
                for key in body["remove"].as_array().unwrap() {
                    items.remove(key.as_str().unwrap());
                }
                answer(200, &json!({ "rev": items.revision }))
            }
            _ => {
                let lease = path.rsplit('/').next().and_then(|lease| lease.parse::<u64>().ok());
                match lease.and_then(|lease| items.leases.get_mut(&lease)) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        answer(200, &json!({ "ttlMs": ttl.as_millis() as u64 }))
                    }
                    None => Response::new(404),
                }
            }
        }
    }
}

fn answer(status: u16, body: &Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(body.to_string());
    response
}
