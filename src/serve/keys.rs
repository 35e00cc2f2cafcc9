//! Resolves a caller's key to the process that coordinates its job, by the key's prefix or by a claim in the store,
//! and finds out what is known of the job if that process is out of reach.

use std::sync::{Arc, PoisonError};

use crate::job::{Execution, Failure, Key, KeyError, Mark, Outcome, Prefix, Reason};
use crate::membership::claim;
use crate::membership::closed::{self, Lookup};
use crate::wire::KeyStatus;

use super::node::{Node, unreachable_coordinator};

/// The first character of the suffix of a claimed key. Keys with a prefix from POST /v1/keys may not use it.
const CLAIM_MARK: char = '~';

/// The longest key without a prefix, in bytes. It becomes the suffix of a claimed key, which has to leave room for the
/// prefix.
const CLAIMED_KEY_MAX_BYTES: usize = 200;

impl Node {
    /// Resolves the text of a key. One without a prefix is claimed in the store.
    pub(super) async fn resolve(&self, text: &str) -> Result<Key, Failure> {
        match text.parse::<Key>() {
            Ok(key) if key.suffix.starts_with(CLAIM_MARK) => Err(reserved()),
            Ok(key) => Ok(key),
            Err(KeyError::Text) => Err(invalid(KeyError::Text)),
            Err(_) if text.len() > CLAIMED_KEY_MAX_BYTES => Err(invalid(KeyError::Text)),
            Err(_) => self.claim(text).await,
        }
    }

    /// Resolves the text of a key without claiming it; `None` if it has no prefix and no VM has claimed it.
    pub(super) async fn resolve_without_claim(&self, text: &str) -> Result<Option<Key>, Failure> {
        if text.parse::<Key>().is_ok()
            || !Key::is_valid_text(text)
            || text.len() > CLAIMED_KEY_MAX_BYTES
        {
            return self.resolve(text).await.map(Some);
        }
        let prefix = claim::find(&*self.store, &self.settings.store.prefix, text).await;
        let prefix = prefix.map_err(|error| claim_failure(&error))?;
        Ok(prefix.map(|prefix| claimed(prefix, text)))
    }

    /// Sets the execution of a refused submission's failure to what is known of its key, since an earlier submission
    /// with the same key may have run.
    pub(super) async fn with_known_execution(
        self: &Arc<Self>,
        text: &str,
        mut failure: Failure,
    ) -> Failure {
        failure.execution = match self.resolve_without_claim(text).await {
            Ok(None) => Execution::NotRun,
            Ok(Some(key)) => self.known_execution(&key).await,
            Err(_) => Execution::Unknown,
        };
        failure
    }

    /// What is known of a key whose process is out of reach, from its closing record and its registration.
    pub(super) async fn unreachable_failure(&self, key: &Key) -> Failure {
        let record = closed::lookup(&*self.store, &self.settings.store.prefix, key).await;
        let registered = self.membership.view().members.value.contains_key(&key.prefix.incarnation);
        match record {
            Ok(Lookup::Accepted(mark)) => stopped(mark),
            Ok(Lookup::NeverAccepted) => stopped(Mark::NotRun),
            Ok(Lookup::Dropped) => stopped(Mark::Unknown),
            Ok(Lookup::NoRecord) if !registered => gone(),
            Ok(Lookup::NoRecord) | Err(_) => unreachable_coordinator(),
        }
    }

    /// Whether the process that a key names is neither linked nor registered.
    pub(super) fn is_coordinator_gone(&self, key: &Key) -> bool {
        let incarnation = key.prefix.incarnation;
        let registered = self.membership.view().members.value.contains_key(&incarnation);
        !registered && self.links.get(incarnation).is_none()
    }

    async fn known_execution(self: &Arc<Self>, key: &Key) -> Execution {
        match self.lookup(key).await {
            Ok(KeyStatus::NeverSubmitted) => Execution::NotRun,
            Ok(KeyStatus::Ended(Outcome::Complete(_))) => Execution::Ran,
            Ok(KeyStatus::Running | KeyStatus::Cancelling) => Execution::Unknown,
            Ok(KeyStatus::Ended(Outcome::Failed(failure))) | Err(failure) => failure.execution,
        }
    }

    /// Takes one claim from the budget of this second.
    fn take_claim(&self, per_second: u32) -> Result<(), claim::Error> {
        if self.is_draining() {
            return Err(claim::Error::Stopping);
        }
        let mut budget = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(self.now(), per_second)
    }

    async fn claim(&self, text: &str) -> Result<Key, Failure> {
        let store_prefix = &self.settings.store.prefix;
        let per_second = self.document().limits.claims_per_second;
        if let Err(error) = self.take_claim(per_second) {
            // A key that was claimed before needs no write and hence no budget, and its job may have run.
            let found = claim::find(&*self.store, store_prefix, text).await.ok().flatten();
            return found.map(|prefix| claimed(prefix, text)).ok_or_else(|| claim_failure(&error));
        }
        let (local, _) = self.prefix();
        let prefix = claim::claim(&*self.store, store_prefix, text, local).await;
        prefix.map(|prefix| claimed(prefix, text)).map_err(|error| claim_failure(&error))
    }
}

fn claimed(prefix: Prefix, text: &str) -> Key {
    Key { prefix, suffix: format!("{CLAIM_MARK}{text}") }
}

fn invalid(error: KeyError) -> Failure {
    Failure::new(Reason::Invalid, Execution::NotRun, error.to_string())
}

fn reserved() -> Failure {
    let detail = "the part of a key after the prefix may not start with ~; choose another id";
    Failure::new(Reason::Invalid, Execution::NotRun, detail)
}

/// The execution is unknown, since another VM may have accepted the same key.
fn claim_failure(error: &claim::Error) -> Failure {
    Failure::new(Reason::Unavailable, Execution::Unknown, error.to_string())
        .retry_after(crate::clock::Millis::from_secs(1))
}

/// The failure for a key whose process left a closing record.
fn stopped(mark: Mark) -> Failure {
    let detail = match mark {
        Mark::NotRun => {
            "the VM that the key names has stopped without running the job; use a new key"
        }
        Mark::Ran => {
            "the VM that the key names has stopped after it ran the job; ask the service itself"
        }
        Mark::Unknown => {
            "the VM that the key names has stopped; ask the service itself whether the job ran"
        }
    };
    Failure::new(Reason::Gone, mark.into(), detail)
}

/// The failure for a key whose process left no closing record and is no longer registered.
fn gone() -> Failure {
    let detail = "the VM that the key names is neither registered nor reachable; \
                  ask the service itself whether the job ran";
    Failure::new(Reason::Gone, Execution::Unknown, detail)
}
