//! The client of a Consul store: its HTTP API over a small pool of keep-alive connections.

use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http_types::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::clock::Millis;
use crate::event;
use crate::http::{self, Limits, Pool, Request};

use super::calls::Counter;
use super::response::json;
use super::{Call, Calls, Condition, Entry, Error, Index, Read, Store, Vm};

/// Idle connections kept in the pool.
const IDLE_MAX: usize = 4;

/// How long an idle connection may be reused: proxies and NATs on the path may drop the state of older ones.
const IDLE_TIMEOUT: Millis = Millis::from_secs(5);

/// The service tag, or key of the service's metadata, that marks a VM as leaving.
const LEAVING: &str = "leaving";

/// A client of a Consul store. Each watch occupies a connection while it waits.
#[derive(Debug)]
pub struct Consul {
    timeout: Millis,
    connections: Pool,
    counter: Counter,
}

impl Consul {
    /// Creates a client of the store at `address`. A call without a response fails after `timeout`, a watch
    /// after its wait and `timeout`.
    pub fn new(address: SocketAddr, timeout: Millis) -> Self {
        let limits =
            Limits { idle_max: IDLE_MAX, idle_timeout: IDLE_TIMEOUT, connect_timeout: timeout };
        let connections = Pool::new(address, limits);
        Self { timeout, connections, counter: Counter::default() }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        wait: Millis,
    ) -> Result<http::Response, Error> {
        let timeout = self.timeout + wait;
        let request = Request { method, path, headers: &[], body, timeout };
        let response = self.connections.send(&request).await;
        self.counter.record_status(response.as_ref().ok().map(|response| response.status));
        Ok(response?)
    }

    async fn watch_path<T: DeserializeOwned>(
        &self,
        path: &str,
        separator: char,
        after: Index,
        wait: Millis,
    ) -> Result<Read<Vec<T>>, Error> {
        let response = if after == 0 {
            self.counter.read();
            self.send(Method::Get, path, &[], Millis::ZERO).await?
        } else {
            self.counter.watch();
            let path = format!("{path}{separator}index={after}&wait={}ms", wait.0);
            self.send(Method::Get, &path, &[], with_jitter(wait)).await?
        };
        let index = response.header("x-consul-index").and_then(|index| index.parse().ok());
        let index = index.ok_or_else(|| Error::Unreadable("no X-Consul-Index".to_owned()))?;
        let value = match response.status {
            404 => Vec::new(),
            _ => json(&response)?,
        };
        Ok(Read { value, index })
    }

    async fn write<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<T, Error> {
        self.counter.write();
        let response = self.send(method, path, body, Millis::ZERO).await?;
        json(&response)
    }
}

/// The longest time that a watch may take: Consul adds up to a sixteenth of `wait` as jitter.
fn with_jitter(wait: Millis) -> Millis {
    wait + Millis(wait.0 / 16)
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::Unsent(why) => Self::Unreachable(why),
            http::Error::Lost(why) | http::Error::Closed(why) => Self::Lost(why),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Pair {
    key: String,
    value: Option<String>,
    modify_index: Index,
}

impl TryFrom<Pair> for Entry {
    type Error = Error;

    fn try_from(pair: Pair) -> Result<Self, Error> {
        let value = STANDARD.decode(pair.value.unwrap_or_default());
        let value = value.map_err(|error| Error::Unreadable(error.to_string()))?;
        Ok(Self { key: pair.key, value, index: pair.modify_index })
    }
}

/// The entry of a pair in a list. An unreadable pair is logged and does not hide the others.
fn readable(pair: Pair) -> Option<Entry> {
    let (key, index) = (pair.key.clone(), pair.modify_index);
    let entry = Entry::try_from(pair);
    if let Err(error) = &entry {
        event!(warn, "item-unreadable", key = key, index = index, reason = error);
    }
    entry.ok()
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Health {
    service: Instance,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    tags: Option<Vec<String>>,
    #[serde(default)]
    meta: Option<std::collections::BTreeMap<String, String>>,
}

impl From<Health> for Vm {
    fn from(health: Health) -> Self {
        let Instance { id, tags, meta } = health.service;
        let has_tag = tags.is_some_and(|tags| tags.iter().any(|tag| tag == LEAVING));
        let has_meta =
            meta.is_some_and(|meta| meta.get(LEAVING).is_some_and(|value| value != "false"));
        Self { id, leaving: has_tag || has_meta }
    }
}

impl Store for Consul {
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Entry>> {
        // Single reads decide what callers are told and what is written next, so they must not be stale.
        Box::pin(async move {
            let path = format!("/v1/kv/{key}?consistent");
            let pairs = self.watch_path::<Pair>(&path, '&', 0, Millis::ZERO).await?.value;
            pairs.into_iter().next().map(Entry::try_from).transpose()
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Option<Entry>>> {
        Box::pin(async move {
            let path = format!("/v1/kv/{key}");
            let Read { value, index } = self.watch_path::<Pair>(&path, '?', after, wait).await?;
            let value = value.into_iter().next().map(Entry::try_from).transpose()?;
            Ok(Read { value, index })
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Vec<Entry>>> {
        Box::pin(async move {
            let path = format!("/v1/kv/{prefix}?recurse=true");
            let Read { value, index } = self.watch_path::<Pair>(&path, '&', after, wait).await?;
            Ok(Read { value: value.into_iter().filter_map(readable).collect(), index })
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: Vec<u8>, condition: Condition) -> Call<'a, bool> {
        Box::pin(async move {
            let path = match condition {
                Condition::Always => format!("/v1/kv/{key}"),
                Condition::Absent => format!("/v1/kv/{key}?cas=0"),
                Condition::Unchanged(index) => format!("/v1/kv/{key}?cas={index}"),
            };
            self.write(Method::Put, &path, &value).await
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            let path = format!("/v1/kv/{key}");
            self.write::<bool>(Method::Delete, &path, &[]).await.map(|_| ())
        })
    }

    fn open_session(&self, ttl: Millis) -> Call<'_, String> {
        Box::pin(async move {
            let body = serde_json::json!({
                "Name": "gypsumkeel",
                "TTL": format!("{}ms", ttl.0),
                "Behavior": "delete",
                "LockDelay": "0s",
            });
            let body = body.to_string();
            let session =
                self.write::<CreatedSession>(Method::Put, "/v1/session/create", body.as_bytes());
            Ok(session.await?.id)
        })
    }

    fn renew_session<'a>(&'a self, session: &'a str) -> Call<'a, bool> {
        Box::pin(async move {
            let path = format!("/v1/session/renew/{session}");
            match self.write::<serde_json::Value>(Method::Put, &path, &[]).await {
                Ok(_) => Ok(true),
                Err(Error::Refused { status: 404, .. }) => Ok(false),
                Err(error) => Err(error),
            }
        })
    }

    fn end_session<'a>(&'a self, session: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            let path = format!("/v1/session/destroy/{session}");
            self.write::<bool>(Method::Put, &path, &[]).await.map(|_| ())
        })
    }

    fn acquire<'a>(&'a self, key: &'a str, value: Vec<u8>, session: &'a str) -> Call<'a, bool> {
        Box::pin(async move {
            let path = format!("/v1/kv/{key}?acquire={session}");
            self.write(Method::Put, &path, &value).await
        })
    }

    fn vms<'a>(&'a self, service: &'a str, after: Index, wait: Millis) -> Call<'a, Read<Vec<Vm>>> {
        Box::pin(async move {
            let path = format!("/v1/health/service/{service}");
            let Read { value, index } = self.watch_path::<Health>(&path, '?', after, wait).await?;
            Ok(Read { value: value.into_iter().map(Vm::from).collect(), index })
        })
    }

    fn calls(&self) -> Calls {
        self.counter.calls()
    }
}
