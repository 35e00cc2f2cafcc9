//! The platform's store: items with revisions, transactions, leases and watches.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{Json, quote};

/// How long the store takes to respond.
const LATENCY: Duration = Duration::from_millis(4);

/// The interval at which a watch looks for changes.
const CHECK_EVERY: Duration = Duration::from_millis(5);

/// The shortest lease, in milliseconds.
const LEASE_MIN_MS: u64 = 1000;

/// The most items on one page of a range.
const PAGE: usize = 500;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The revision at which each removed key was removed.
    removed: BTreeMap<String, u64>,
    /// The end and the duration of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Clone, Debug)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn new() -> Self {
        let state = State { revision: 1, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Serves the store on a free port. While `is_refused` holds, each call gets status 503.
    pub fn serve(&self, is_refused: impl Fn() -> bool + Send + Sync + 'static) -> SocketAddr {
        let store = self.clone();
        http::serve(Arc::new(move |request: &Request| {
            thread::sleep(LATENCY);
            if is_refused() {
                return Some((503, "{}".to_owned()));
            }
            Some(store.answer(request))
        }))
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, encode(value.as_bytes()), 0);
    }

    fn answer(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), request.path()) {
            ("GET", "/api/kv-key") => self.key(request),
            ("GET", "/api/kv-range") => self.range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.commit(&body),
            ("POST", "/api/kv-lease") => self.grant(&body),
            ("POST", path) => self.keep(path.rsplit('/').next().unwrap_or("")),
            ("DELETE", path) => self.end_lease(path.rsplit('/').next().unwrap_or("")),
            _ => (400, "{}".to_owned()),
        }
    }

    fn key(&self, request: &Request) -> Response {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let key = request.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => (200, item.show(&key)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let found = found.map(|(key, item)| item.show(key)).collect::<Vec<_>>();
        let page = &found[..found.len().min(PAGE)];
        let truncated = page.len() < found.len();
        let items = page.join(",");
        let revision = state.revision;
        (200, format!("{{\"items\":[{items}],\"truncated\":{truncated},\"asOf\":{revision}}}"))
    }

    fn watch(&self, request: &Request) -> Response {
        let number = |name| request.query(name).and_then(|value| value.parse::<u64>().ok());
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.expire();
                let events = state.events(&prefix, after);
                if !events.is_empty() || Instant::now() >= deadline {
                    let (events, revision) = (events.join(","), state.revision);
                    return (200, format!("{{\"events\":[{events}],\"asOf\":{revision}}}"));
                }
            }
            thread::sleep(CHECK_EVERY);
        }
    }

    fn commit(&self, body: &Json) -> Response {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let expected = body.get("expect").list();
        let is_met = |row: &Json| {
            let item = state.items.get(row.get("key").text().unwrap_or(""));
            item.map_or(0, |item| item.revision) == row.get("rev").number().unwrap_or(0)
        };
        if !expected.iter().all(is_met) {
            let keys = expected.iter().filter_map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(state.items.get(key)?.show(key)));
            let items = items.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"items\":[{items}]}}"));
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts.iter().any(|put| lease(put) > 0 && !state.leases.contains_key(&lease(put))) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = put.get("value").text().unwrap_or("").to_owned();
            state.put(put.get("key").text().unwrap_or(""), value, lease(put));
        }
        for key in body.get("remove").list().iter().filter_map(Json::text) {
            state.remove(key);
        }
        (200, format!("{{\"rev\":{}}}", state.revision))
    }

    fn grant(&self, body: &Json) -> Response {
        let mut state = self.state.lock().unwrap();
        let ttl = body.get("ttlMs").number().unwrap_or(0).max(LEASE_MIN_MS);
        state.last_lease += 1;
        let lease = state.last_lease;
        let duration = Duration::from_millis(ttl);
        state.leases.insert(lease, (Instant::now() + duration, duration));
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
    }

    fn keep(&self, lease: &str) -> Response {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let lease = lease.parse::<u64>().unwrap_or(0);
        match state.leases.get_mut(&lease) {
            Some((end, duration)) => {
                *end = Instant::now() + *duration;
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", duration.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end_lease(&self, lease: &str) -> Response {
        let mut state = self.state.lock().unwrap();
        match lease.parse::<u64>().ok().and_then(|lease| state.leases.get_mut(&lease)) {
            Some((end, _)) => *end = Instant::now(),
            None => return (404, "{}".to_owned()),
        }
        state.expire();
        (200, "{}".to_owned())
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.removed.remove(key);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.removed.insert(key.to_owned(), self.revision);
        }
    }

    /// Removes the leases that have ended, with their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended = ended.map(|(&lease, _)| lease).collect::<Vec<_>>();
        for lease in ended {
            self.leases.remove(&lease);
            let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
            for key in keys.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
                self.remove(&key);
            }
        }
    }

    /// The changes after a revision, in their order.
    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let puts = self.items.iter().filter(|(_, item)| item.revision > after);
        let puts = puts.filter(|(key, _)| key.starts_with(prefix));
        let puts = puts.map(|(key, item)| (item.revision, item.show(key)));
        let removals = self.removed.iter().filter(|(_, revision)| **revision > after);
        let removals = removals.filter(|(key, _)| key.starts_with(prefix));
        let removals = removals.map(|(key, revision)| {
            let shown = format!("{{\"key\":{},\"rev\":{revision},\"removed\":true}}", quote(key));
            (*revision, shown)
        });
        let mut events = puts.chain(removals).collect::<Vec<_>>();
        events.sort();
        events.into_iter().map(|(_, event)| event).collect()
    }
}

impl Item {
    fn show(&self, key: &str) -> String {
        let Item { value, revision, created, lease } = self;
        format!(
            "{{\"key\":{},\"value\":\"{value}\",\"rev\":{revision},\"createdRev\":{created},\"lease\":{lease}}}",
            quote(key)
        )
    }
}

/// Base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let is_used = index <= chunk.len();
            let digit = ALPHABET[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if is_used { digit } else { '=' });
        }
    }
    text
}
