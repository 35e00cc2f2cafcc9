//! Claims of caller-made keys. A claim in the store fixes once and for all which process may start the job.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::clock::Millis;
use crate::contain;
use crate::job::Prefix;
use crate::store::{self, Condition, Entry, Store};

/// How often a claim is written while the store's responses are lost.
const WRITES_MAX: u32 = 3;

/// Why a key was not claimed. The job was not started through this claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// This VM has made as many claims in this second as it may.
    Budget,
    /// The VM is stopping, so the job of a key claimed for it would never start.
    Stopping,
    /// The call to the store failed. This claim or another VM's may still have been written.
    Store(store::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Budget => f.write_str(
                "this VM has no claims of caller-made keys left in this second; submit again later, \
                 or with a prefix from POST /v1/keys, which needs no claim",
            ),
            Self::Stopping => f.write_str(
                "this VM is stopping and claims no more keys; submit again with the same key to \
                 another VM",
            ),
            Self::Store(error) => write!(
                f,
                "the key can't be claimed: {error}; submit again with the same key, or with a \
                 prefix from POST /v1/keys, which needs no claim"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// The value of a claim in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Claim {
    /// The process, and its window, under which the job may be started.
    prefix: Prefix,
    /// The time of the claim, since the Unix epoch, so that operators can find old claims.
    #[serde(rename = "at_unix_ms", default)]
    claimed_at: Millis,
}

/// Claims a caller-made key for the prefix `local`, and returns the prefix under which its job may be started:
/// `local`, or that of an earlier claim.
///
/// VMs that claim a key at once all get the same prefix, and so does a VM that writes again because the first response was lost.
pub async fn claim(
    store: &dyn Store,
    store_prefix: &str,
    caller_key: &str,
    local: Prefix,
) -> Result<Prefix, Error> {
    let key = format!("{store_prefix}/claims/{}", hash(caller_key));
    let claim = Claim { prefix: local, claimed_at: Millis::since_epoch() };
    let value = serde_json::to_vec(&claim).expect("a claim has string keys only");
    let mut last = store::Error::Lost("no response".to_owned());
    for _ in 0..WRITES_MAX {
        match store.put(&key, value.clone(), Condition::Absent).await {
            Ok(true) => return Ok(local),
            Ok(false) => return read(store, &key).await,
            Err(error) if error.may_have_written() => last = error,
            Err(error) => return Err(Error::Store(error)),
        }
    }
    Err(Error::Store(last))
}

/// Returns the prefix of a key's claim, if it was claimed.
pub async fn find(
    store: &dyn Store,
    store_prefix: &str,
    caller_key: &str,
) -> Result<Option<Prefix>, Error> {
    let key = format!("{store_prefix}/claims/{}", hash(caller_key));
    let entry = store.get(&key).await.map_err(Error::Store)?;
    entry.map(|entry| parse(&entry)).transpose()
}

async fn read(store: &dyn Store, key: &str) -> Result<Prefix, Error> {
    let entry = store.get(key).await.map_err(Error::Store)?;
    let gone = || store::Error::Unreadable(format!("the claim {key} is gone"));
    parse(&entry.ok_or_else(gone).map_err(Error::Store)?)
}

fn parse(entry: &Entry) -> Result<Prefix, Error> {
    let claim = contain::json::<Claim>(&entry.value);
    let unreadable = |error: serde_json::Error| {
        store::Error::Unreadable(format!("claim {}: {error}", entry.key))
    };
    claim.map(|claim| claim.prefix).map_err(unreadable).map_err(Error::Store)
}

fn hash(caller_key: &str) -> String {
    use base64::Engine as _;
    use base64::engine::general_purpose::URL_SAFE_NO_PAD;
    URL_SAFE_NO_PAD.encode(Sha256::digest(caller_key))
}

/// The claims that this VM may still make in the current second.
#[derive(Debug)]
pub struct Budget {
    /// The second of the last claim, since the start of the clock.
    second: u64,
    used: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// A budget of which nothing is used.
    pub const fn new() -> Self {
        Self { second: 0, used: 0 }
    }

    /// Uses one of the `per_second` claims of the second that `now` is in.
    pub const fn take(&mut self, now: Millis, per_second: u32) -> Result<(), Error> {
        let second = now.0 / 1000;
        if second != self.second {
            self.second = second;
            self.used = 0;
        }
        if self.used >= per_second {
            return Err(Error::Budget);
        }
        self.used += 1;
        Ok(())
    }
}
