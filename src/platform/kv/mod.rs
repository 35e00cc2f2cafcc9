//! The [`Store`] trait on top of the platform's store.

mod item;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http_types::Method;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::http::{Limits, Pool, Request, Response};
use crate::store::{Call, Calls, Condition, Counter, Entry, Error, Index, Read, Store, Vm, json};

use item::{Changes, Item, Page, Snapshot};

/// The timeout of a call, its wait not included. The store responds within milliseconds, or a few hundred when
/// it is slow.
pub const TIMEOUT: Millis = Millis(1000);

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// The most idle connections that are kept open.
const IDLE_MAX: usize = 4;

/// The age up to which an idle connection is reused.
const IDLE_AGE_MAX: Millis = Millis::from_secs(10);

/// The characters of keys that are escaped in queries.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// A client of the platform's store.
#[derive(Debug)]
pub struct Kv {
    connections: Pool,
    counter: Counter,
    /// The last snapshot of each watched prefix.
    snapshots: Mutex<HashMap<String, Snapshot>>,
}

impl Kv {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let limits = Limits {
            idle_max: IDLE_MAX,
            idle_timeout: IDLE_AGE_MAX,
            connect_timeout: CONNECT_TIMEOUT,
        };
        Self {
            connections: Pool::new(address, limits),
            counter: Counter::default(),
            snapshots: Mutex::default(),
        }
    }

    /// Sends a request to which the store may take `wait` longer to respond than to others.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        wait: Millis,
    ) -> Result<Response, Error> {
        let headers = [("Content-Type", "application/json")];
        let headers = if body.is_empty() { &headers[..0] } else { &headers[..] };
        let request = Request { method, path, headers, body, timeout: TIMEOUT + wait };
        let response = self.connections.send(&request).await;
        self.counter.record_status(response.as_ref().ok().map(|response| response.status));
        Ok(response?)
    }

    async fn read(&self, path: &str, wait: Millis) -> Result<Response, Error> {
        self.send(Method::Get, path, &[], wait).await
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Response, Error> {
        let body = serde_json::to_vec(body).map_err(|e| Error::Unreadable(e.to_string()))?;
        self.send(Method::Post, path, &body, Millis::ZERO).await
    }

    /// Reads all entries under a prefix, page by page. The snapshot has the revision of the first page, so that a
    /// watch from there reports the changes made while the other pages were read.
    async fn range(&self, prefix: &str) -> Result<Snapshot, Error> {
        let mut snapshot = Snapshot::default();
        let mut after = String::new();
        loop {
            self.counter.read();
            let mut path = format!("/api/kv-range?prefix={}", escaped(prefix));
            if !after.is_empty() {
                path.push_str("&after=");
                path.push_str(&escaped(&after));
            }
            let response = self.read(&path, Millis::ZERO).await?;
            let page = json::<Page<'_>>(&response)?;
            if snapshot.revision == 0 {
                snapshot.revision = page.revision;
            }
            let last = page.items.iter().filter_map(|item| snapshot.apply(item)).last();
            if !page.truncated {
                return Ok(snapshot);
            }
            match last.filter(|last| *last > after) {
                Some(last) => after = last,
                None => return Err(Error::Unreadable("a page ends where it began".to_owned())),
            }
        }
    }

    /// Waits up to `wait` for changes after `snapshot` and applies them to it.
    async fn update(
        &self,
        prefix: &str,
        mut snapshot: Snapshot,
        wait: Millis,
    ) -> Result<Snapshot, Error> {
        self.counter.watch();
        let (after, wait_ms) = (snapshot.revision, wait.0);
        let prefix_text = escaped(prefix);
        let path = format!("/api/kv-watch?prefix={prefix_text}&after={after}&waitMs={wait_ms}");
        let response = self.read(&path, wait).await?;
        if response.status == 410 {
            // The store has compacted its history beyond this revision: read everything again.
            return self.range(prefix).await;
        }
        let changes = json::<Changes<'_>>(&response)?;
        for change in changes.events {
            snapshot.apply(change);
        }
        snapshot.revision = changes.revision.max(snapshot.revision);
        Ok(snapshot)
    }

    fn snapshot(&self, prefix: &str, revision: Index) -> Option<Snapshot> {
        let snapshots = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot = snapshots.get(prefix);
        snapshot.filter(|known| known.revision == revision && revision > 0).cloned()
    }

    /// Reads the entries under a prefix: once they have changed since revision `after` or `wait` has passed, or at
    /// once if `after` isn't the revision of the last snapshot.
    async fn entries(
        &self,
        prefix: &str,
        after: Index,
        wait: Millis,
    ) -> Result<Read<Vec<Entry>>, Error> {
        let snapshot = match self.snapshot(prefix, after) {
            Some(snapshot) => self.update(prefix, snapshot, wait).await?,
            None => self.range(prefix).await?,
        };
        let value = snapshot.entries.values().cloned().collect();
        let index = snapshot.revision;
        let mut snapshots = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        snapshots.insert(prefix.to_owned(), snapshot);
        Ok(Read { value, index })
    }

    /// Commits a transaction; false if one of its preconditions did not hold.
    async fn commit(&self, transaction: &Transaction<'_>) -> Result<bool, Error> {
        self.counter.write();
        let response = self.post("/api/kv-txn", transaction).await?;
        match json::<Accepted>(&response) {
            Ok(Accepted { .. }) => Ok(true),
            Err(Error::Refused { status: 412, .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }
}

/// A key or prefix as part of a query.
fn escaped(key: &str) -> String {
    utf8_percent_encode(key, ESCAPED).to_string()
}

#[derive(Debug, Default, Serialize)]
struct Transaction<'a> {
    /// The preconditions, all of which must hold.
    expect: Vec<Expected<'a>>,
    puts: Vec<Put<'a>>,
    remove: Vec<&'a str>,
}

#[derive(Debug, Serialize)]
struct Expected<'a> {
    key: &'a str,
    /// The revision of the key's last change; 0 if the key must not exist.
    rev: Index,
}

#[derive(Debug, Serialize)]
struct Put<'a> {
    key: &'a str,
    /// The value in base64.
    value: String,
    /// The lease with which the key expires.
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Accepted {}

#[derive(Debug, Serialize)]
struct LeaseRequest {
    #[serde(rename = "ttlMs")]
    ttl: Millis,
}

#[derive(Debug, Deserialize)]
struct Granted {
    lease: u64,
}

impl Store for Kv {
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Entry>> {
        Box::pin(async move {
            self.counter.read();
            let path = format!("/api/kv-key?key={}", escaped(key));
            let response = self.read(&path, Millis::ZERO).await?;
            match json::<Item<'_>>(&response) {
                Ok(item) => Entry::try_from(item).map(Some),
                Err(Error::Refused { status: 404, .. }) => Ok(None),
                Err(error) => Err(error),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Option<Entry>>> {
        Box::pin(async move {
            let Read { value, index } = self.entries(key, after, wait).await?;
            Ok(Read { value: value.into_iter().find(|entry| entry.key == key), index })
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Vec<Entry>>> {
        Box::pin(self.entries(prefix, after, wait))
    }

    fn put<'a>(&'a self, key: &'a str, value: Vec<u8>, condition: Condition) -> Call<'a, bool> {
        Box::pin(async move {
            let expect = match condition {
                Condition::Always => Vec::new(),
                Condition::Absent => vec![Expected { key, rev: 0 }],
                Condition::Unchanged(rev) => vec![Expected { key, rev }],
            };
            let puts = vec![Put { key, value: STANDARD.encode(value), lease: None }];
            self.commit(&Transaction { expect, puts, remove: Vec::new() }).await
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            let transaction = Transaction { remove: vec![key], ..Transaction::default() };
            self.commit(&transaction).await.map(|_| ())
        })
    }

    fn open_session(&self, ttl: Millis) -> Call<'_, String> {
        Box::pin(async move {
            self.counter.write();
            let response = self.post("/api/kv-lease", &LeaseRequest { ttl }).await?;
            Ok(json::<Granted>(&response)?.lease.to_string())
        })
    }

    fn renew_session<'a>(&'a self, session: &'a str) -> Call<'a, bool> {
        Box::pin(async move {
            self.counter.read();
            let path = format!("/api/kv-keep/{session}");
            let response = self.send(Method::Post, &path, &[], Millis::ZERO).await?;
            match json::<serde_json::Value>(&response) {
                Ok(_) => Ok(true),
                Err(Error::Refused { status: 404, .. }) => Ok(false),
                Err(error) => Err(error),
            }
        })
    }

    fn end_session<'a>(&'a self, session: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            self.counter.write();
            let path = format!("/api/kv-lease-end/{session}");
            let response = self.send(Method::Delete, &path, &[], Millis::ZERO).await?;
            match response.status {
                200 | 404 => Ok(()),
                status => Err(Error::Refused { status, text: String::new() }),
            }
        })
    }

    fn acquire<'a>(&'a self, key: &'a str, value: Vec<u8>, session: &'a str) -> Call<'a, bool> {
        Box::pin(async move {
            let lease = session.parse::<u64>().ok();
            let puts = vec![Put { key, value: STANDARD.encode(value), lease }];
            self.commit(&Transaction { puts, ..Transaction::default() }).await
        })
    }

    fn vms<'a>(
        &'a self,
        _service: &'a str,
        after: Index,
        _wait: Millis,
    ) -> Call<'a, Read<Vec<Vm>>> {
        // Always empty: on this platform the targets' own entries tell which of them drain.
        Box::pin(async move { Ok(Read { value: Vec::new(), index: after }) })
    }

    fn calls(&self) -> Calls {
        self.counter.calls()
    }
}
