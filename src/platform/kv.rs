//! The platform's store behind the product's store trait.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http_types::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::http::{Answer, Keep, Pool, Question};
use crate::store::{Call, Calls, Condition, Counter, Entry, Error, Index, Read, Store, Vm};

/// How long a call may take. The store answers in milliseconds, and in some hundreds when it is slow.
const TIMEOUT: Millis = Millis(1000);

/// How long a connection may take.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// The most idle connections.
const IDLE_MAX: usize = 4;

/// How long an idle connection is trusted.
const IDLE_TRUSTED: Millis = Millis::from_secs(10);

/// A client of the platform's store.
#[derive(Debug)]
pub struct Kv {
    connections: Pool,
    counter: Counter,
    /// What is known below each prefix that is watched.
    known: Mutex<HashMap<String, Known>>,
}

/// All items below a prefix at a revision.
#[derive(Clone, Debug, Default)]
struct Known {
    revision: Index,
    items: BTreeMap<String, Entry>,
}

impl Kv {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let keep =
            Keep { idle_max: IDLE_MAX, trusted: IDLE_TRUSTED, connect_timeout: CONNECT_TIMEOUT };
        Self {
            connections: Pool::new(address, keep),
            counter: Counter::default(),
            known: Mutex::default(),
        }
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        wait: Millis,
    ) -> Result<Answer, Error> {
        let headers = [("Content-Type", "application/json")];
        let headers = if body.is_empty() { &headers[..0] } else { &headers[..] };
        let question = Question { method, path, headers, body, timeout: TIMEOUT + wait };
        let answer = self.connections.ask(&question).await;
        self.counter.end(answer.as_ref().ok().map(|answer| answer.status));
        Ok(answer?)
    }

    async fn read<T: DeserializeOwned>(&self, path: &str, wait: Millis) -> Result<T, Error> {
        json(&self.ask(Method::Get, path, &[], wait).await?)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).map_err(|e| Error::Unreadable(e.to_string()))?;
        json(&self.ask(Method::Post, path, &body, Millis::ZERO).await?)
    }

    /// Reads all items below a prefix, page by page. The first page's revision counts, so that a watch from
    /// there shows again what changed between the pages.
    async fn range(&self, prefix: &str) -> Result<Known, Error> {
        let mut known = Known::default();
        let mut after = String::new();
        loop {
            self.counter.read();
            let path = match after.as_str() {
                "" => format!("/api/kv-range?prefix={prefix}"),
                after => format!("/api/kv-range?prefix={prefix}&after={after}"),
            };
            let page = self.read::<Range>(&path, Millis::ZERO).await?;
            if known.revision == 0 {
                known.revision = page.as_of;
            }
            after = page.items.last().map(|item| item.key.clone()).unwrap_or_default();
            for item in page.items {
                known.put(item)?;
            }
            if !page.truncated || after.is_empty() {
                return Ok(known);
            }
        }
    }

    /// Waits for changes after what is known and applies them.
    async fn follow(&self, prefix: &str, mut known: Known, wait: Millis) -> Result<Known, Error> {
        self.counter.watch();
        let (after, wait_ms) = (known.revision, wait.0);
        let path = format!("/api/kv-watch?prefix={prefix}&after={after}&waitMs={wait_ms}");
        let changes = match self.read::<Changes>(&path, wait).await {
            // The history is no longer there: read anew.
            Err(Error::Refused { status: 410, .. }) => return self.range(prefix).await,
            changes => changes?,
        };
        for change in changes.events {
            match change {
                Change::Removed(Removed { key, .. }) => {
                    known.items.remove(&key);
                }
                Change::Put(item) => known.put(item)?,
            }
        }
        known.revision = changes.as_of.max(known.revision);
        Ok(known)
    }

    fn known(&self, prefix: &str, revision: Index) -> Option<Known> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(prefix).filter(|known| known.revision == revision && revision > 0).cloned()
    }

    async fn items(
        &self,
        prefix: &str,
        after: Index,
        wait: Millis,
    ) -> Result<Read<Vec<Entry>>, Error> {
        let known = match self.known(prefix, after) {
            Some(known) => self.follow(prefix, known, wait).await?,
            None => self.range(prefix).await?,
        };
        let value = known.items.values().cloned().collect();
        let index = known.revision;
        let mut all = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(prefix.to_owned(), known);
        Ok(Read { value, index })
    }

    async fn change(&self, change: &Transaction<'_>) -> Result<bool, Error> {
        self.counter.write();
        match self.post::<Accepted>("/api/kv-txn", change).await {
            Ok(Accepted { .. }) => Ok(true),
            Err(Error::Refused { status: 412, .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }
}

fn json<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    if answer.status != 200 {
        let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
        return Err(Error::Refused { status: answer.status, text });
    }
    serde_json::from_slice(&answer.body).map_err(|error| Error::Unreadable(error.to_string()))
}

impl Known {
    fn put(&mut self, item: Item) -> Result<(), Error> {
        let entry = Entry::try_from(item)?;
        self.items.insert(entry.key.clone(), entry);
        Ok(())
    }
}

#[derive(Debug, Deserialize)]
struct Item {
    key: String,
    value: String,
    rev: Index,
}

impl TryFrom<Item> for Entry {
    type Error = Error;

    fn try_from(item: Item) -> Result<Self, Error> {
        let value = STANDARD.decode(item.value);
        let value = value.map_err(|error| Error::Unreadable(error.to_string()))?;
        Ok(Self { key: item.key, value, index: item.rev })
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Range {
    items: Vec<Item>,
    truncated: bool,
    as_of: Index,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Changes {
    events: Vec<Change>,
    as_of: Index,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Change {
    Put(Item),
    Removed(Removed),
}

#[derive(Debug, Deserialize)]
struct Removed {
    key: String,
    #[serde(rename = "removed")]
    _removed: bool,
}

#[derive(Debug, Default, Serialize)]
struct Transaction<'a> {
    expect: Vec<Expected<'a>>,
    puts: Vec<Put<'a>>,
    remove: Vec<&'a str>,
}

#[derive(Debug, Serialize)]
struct Expected<'a> {
    key: &'a str,
    /// 0 where the key must not exist.
    rev: Index,
}

#[derive(Debug, Serialize)]
struct Put<'a> {
    key: &'a str,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Accepted {}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Ttl {
    ttl_ms: Millis,
}

#[derive(Debug, Deserialize)]
struct Granted {
    lease: u64,
}

impl Store for Kv {
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Entry>> {
        Box::pin(async move {
            self.counter.read();
            match self.read::<Item>(&format!("/api/kv-key?key={key}"), Millis::ZERO).await {
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
            let Read { value, index } = self.items(key, after, wait).await?;
            Ok(Read { value: value.into_iter().find(|entry| entry.key == key), index })
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Vec<Entry>>> {
        Box::pin(self.items(prefix, after, wait))
    }

    fn put<'a>(&'a self, key: &'a str, value: Vec<u8>, condition: Condition) -> Call<'a, bool> {
        Box::pin(async move {
            let expect = match condition {
                Condition::Always => Vec::new(),
                Condition::Absent => vec![Expected { key, rev: 0 }],
                Condition::Unchanged(rev) => vec![Expected { key, rev }],
            };
            let puts = vec![Put { key, value: STANDARD.encode(value), lease: None }];
            self.change(&Transaction { expect, puts, remove: Vec::new() }).await
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            let change = Transaction { remove: vec![key], ..Transaction::default() };
            self.change(&change).await.map(|_| ())
        })
    }

    fn open_session(&self, ttl: Millis) -> Call<'_, String> {
        Box::pin(async move {
            self.counter.write();
            let granted = self.post::<Granted>("/api/kv-lease", &Ttl { ttl_ms: ttl }).await?;
            Ok(granted.lease.to_string())
        })
    }

    fn renew_session<'a>(&'a self, session: &'a str) -> Call<'a, bool> {
        Box::pin(async move {
            self.counter.read();
            let path = format!("/api/kv-keep/{session}");
            let answer = self.ask(Method::Post, &path, &[], Millis::ZERO).await?;
            match json::<serde_json::Value>(&answer) {
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
            let answer = self.ask(Method::Delete, &path, &[], Millis::ZERO).await?;
            match answer.status {
                200 | 404 => Ok(()),
                status => Err(Error::Refused { status, text: String::new() }),
            }
        })
    }

    fn acquire<'a>(&'a self, key: &'a str, value: Vec<u8>, session: &'a str) -> Call<'a, bool> {
        Box::pin(async move {
            let lease = session.parse::<u64>().ok();
            let puts = vec![Put { key, value: STANDARD.encode(value), lease }];
            self.change(&Transaction { puts, ..Transaction::default() }).await
        })
    }

    fn vms<'a>(
        &'a self,
        _service: &'a str,
        after: Index,
        _wait: Millis,
    ) -> Call<'a, Read<Vec<Vm>>> {
        // Targets say by themselves that they leave, in their own entries.
        Box::pin(async move { Ok(Read { value: Vec::new(), index: after }) })
    }

    fn calls(&self) -> Calls {
        self.counter.calls()
    }
}
