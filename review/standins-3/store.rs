//! The platform's store: items, revisions, leases, watches and transactions over HTTP, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{self, Request};
use crate::json::{Value, object};

/// The time that the store takes for an answer.
const LATENCY: Duration = Duration::from_millis(4);

/// The most items on a page of a range.
const PAGE: usize = 500;

#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: the revision, the key, and the item as it was written, or `None` if the key was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// The end and the duration of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Clone, Debug)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> Value {
        object([
            ("key", key.into()),
            ("value", self.value.as_str().into()),
            ("rev", self.revision.into()),
            ("createdRev", self.created.into()),
            ("lease", self.lease.into()),
        ])
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let lapsed = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        for lease in lapsed.map(|(lease, _)| *lease).collect::<Vec<_>>() {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        for key in held.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let serving = Arc::clone(&shared);
        let (address, _) = http::serve(Arc::new(move |request| {
            thread::sleep(LATENCY);
            Some(serving.answer(&request))
        }))?;
        let expiring = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = expiring.state.lock().unwrap();
                let before = state.revision;
                state.expire();
                if state.revision != before {
                    expiring.changed.notify_all();
                }
            }
        });
        Ok(Self { address, shared })
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        let text = base64::encode(value.to_string().as_bytes());
        self.shared.state.lock().unwrap().put(key, text, 0);
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn answer(&self, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => self.key(request),
            ("GET", "/api/kv-range") => self.range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.transact(request),
            ("POST", "/api/kv-lease") => self.open_lease(request),
            ("POST", path) if path.starts_with("/api/kv-keep/") => self.keep_lease(path),
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => self.close_lease(path),
            _ => (400, String::new()),
        }
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let Some(key) = request.query("key") else { return (400, String::new()) };
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, item.json(key).to_string()),
            None => (404, String::new()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let found = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let mut items = found.map(|(key, item)| item.json(key)).collect::<Vec<_>>();
        let truncated = items.len() > PAGE;
        items.truncate(PAGE);
        let body = object([
            ("items", items.into()),
            ("truncated", truncated.into()),
            ("asOf", state.revision.into()),
        ]);
        (200, body.to_string())
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(after), Some(wait)) = (number("after"), number("waitMs")) else {
            return (400, String::new());
        };
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let start = state.history.partition_point(|(revision, ..)| *revision <= after);
            let found = state.history[start..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events = found.map(|(revision, key, item)| match item {
                Some(item) => item.json(key),
                None => object([
                    ("key", key.as_str().into()),
                    ("rev", (*revision).into()),
                    ("removed", true.into()),
                ]),
            });
            let events = events.collect::<Vec<_>>();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let body = object([("events", events.into()), ("asOf", state.revision.into())]);
                return (200, body.to_string());
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = Value::parse(&request.body) else { return (400, String::new()) };
        let mut state = self.state.lock().unwrap();
        state.expire();
        let is_met = |row: &Value| {
            let key = row.text("key").unwrap_or_default();
            row.number("rev") == Some(state.items.get(key).map_or(0, |item| item.revision))
        };
        if !body.list("expect").iter().all(is_met) {
            let keys = body.list("expect").iter().filter_map(|row| row.text("key"));
            let items = keys.filter_map(|key| Some(state.items.get(key)?.json(key)));
            return (412, object([("items", items.collect::<Vec<_>>().into())]).to_string());
        }
        let lease = |put: &Value| put.number("lease").unwrap_or(0);
        let has_lease = |put: &Value| lease(put) == 0 || state.leases.contains_key(&lease(put));
        if !body.list("puts").iter().all(has_lease) {
            return (404, String::new());
        }
        for put in body.list("puts") {
            let key = put.text("key").unwrap_or_default();
            let value = put.text("value").unwrap_or_default().to_owned();
            state.put(key, value, lease(put));
        }
        for key in body.list("remove") {
            if let Value::Text(key) = key {
                state.remove(key);
            }
        }
        self.changed.notify_all();
        (200, object([("rev", state.revision.into())]).to_string())
    }

    fn open_lease(&self, request: &Request) -> (u16, String) {
        let body = Value::parse(&request.body);
        let Some(ttl) = body.and_then(|body| body.number("ttlMs")) else {
            return (400, String::new());
        };
        let ttl = ttl.clamp(1000, 600_000);
        let mut state = self.state.lock().unwrap();
        let lease = state.next_lease;
        state.next_lease += 1;
        let duration = Duration::from_millis(ttl);
        state.leases.insert(lease, (Instant::now() + duration, duration));
        (200, object([("lease", lease.into()), ("ttlMs", ttl.into())]).to_string())
    }

    fn keep_lease(&self, path: &str) -> (u16, String) {
        let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        state.expire();
        match lease.and_then(|lease| state.leases.get_mut(&lease)) {
            Some((end, duration)) => {
                *end = Instant::now() + *duration;
                (200, object([("ttlMs", (duration.as_millis() as u64).into())]).to_string())
            }
            None => (404, String::new()),
        }
    }

    fn close_lease(&self, path: &str) -> (u16, String) {
        let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        match lease.filter(|lease| state.leases.contains_key(lease)) {
            Some(lease) => {
                state.end_lease(lease);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            None => (404, String::new()),
        }
    }
}
