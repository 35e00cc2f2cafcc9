//! Claims of keys that callers made up: the store fixes, once, which process may start the job.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::clock::Millis;
use crate::job::Prefix;
use crate::store::{self, Condition, Entry, Store};

/// How often the outcome of a claim whose answer was lost is asked for.
const ATTEMPTS_MAX: u32 = 3;

/// Why a key was not claimed. Nobody has started its job through this claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The budget of this second is used up.
    Budget,
    /// The VM is stopping, and a key claimed for it could never run.
    Stopping,
    /// The store gave no usable answer. Another VM, or this claim itself, may hold the key by now.
    Store(store::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Budget => f.write_str(
                "the claims of this second are used up; submit again later, or with a prefix from \
                 POST /v1/keys, which needs no claim",
            ),
            Self::Stopping => f.write_str(
                "this VM is stopping and claims no keys; submit again with the same key to another VM",
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

/// The value of a claim.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Claim {
    prefix: Prefix,
    /// When it was made, since the Unix epoch, so that operators can tell old ones.
    #[serde(rename = "at_unix_ms", default)]
    at: Millis,
}

/// The prefix under which the job of a caller-made key may be started: `own`, or that of an earlier claim.
///
/// Two VMs that claim at once get the same answer, and so does a VM that lost the answer to its own claim.
pub async fn claim(
    store: &dyn Store,
    prefix: &str,
    caller_key: &str,
    own: Prefix,
) -> Result<Prefix, Error> {
    let key = format!("{prefix}/claims/{}", hash(caller_key));
    let claim = Claim { prefix: own, at: Millis::since_epoch() };
    let value = serde_json::to_vec(&claim).expect("a claim has string keys only");
    let mut last = store::Error::Lost("no answer".to_owned());
    for _ in 0..ATTEMPTS_MAX {
        match store.put(&key, value.clone(), Condition::Absent).await {
            Ok(true) => return Ok(own),
            Ok(false) => return read(store, &key).await,
            Err(error) if error.may_have_written() => last = error,
            Err(error) => return Err(Error::Store(error)),
        }
    }
    Err(Error::Store(last))
}

/// The prefix of a claim that was made before, if any.
pub async fn find(
    store: &dyn Store,
    prefix: &str,
    caller_key: &str,
) -> Result<Option<Prefix>, Error> {
    let key = format!("{prefix}/claims/{}", hash(caller_key));
    let entry = store.get(&key).await.map_err(Error::Store)?;
    entry.map(|entry| parse(&entry)).transpose()
}

async fn read(store: &dyn Store, key: &str) -> Result<Prefix, Error> {
    let entry = store.get(key).await.map_err(Error::Store)?;
    let gone = || store::Error::Unreadable("the claim is gone again".to_owned());
    parse(&entry.ok_or_else(gone).map_err(Error::Store)?)
}

fn parse(entry: &Entry) -> Result<Prefix, Error> {
    let claim = serde_json::from_slice::<Claim>(&entry.value);
    let unreadable = |error: serde_json::Error| store::Error::Unreadable(error.to_string());
    claim.map(|claim| claim.prefix).map_err(unreadable).map_err(Error::Store)
}

fn hash(caller_key: &str) -> String {
    use base64::Engine as _;
    use base64::engine::general_purpose::URL_SAFE_NO_PAD;
    URL_SAFE_NO_PAD.encode(Sha256::digest(caller_key))
}

/// How many claims a VM may make.
#[derive(Debug)]
pub struct Budget {
    second: u64,
    used: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// Nothing is used yet.
    pub const fn new() -> Self {
        Self { second: 0, used: 0 }
    }

    /// Takes one claim out of the `per_second` of the second that `now` is in.
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
