//! What a caller's key names: the process in charge, by its prefix or by a claim in the store, and
//! what can be said truthfully when that process can't be asked.

use std::sync::{Arc, PoisonError};

use crate::job::{Execution, Failure, Key, KeyError, Mark, Outcome, Prefix, Reason};
use crate::membership::claim;
use crate::membership::closed::{self, Lookup};
use crate::wire::KeyStatus;

use super::node::{Node, unreachable_coordinator};

/// What the own part of a claimed key starts with.
const CLAIMED: char = '~';

/// The longest key that a caller may make up, in bytes; the rest is for the prefix.
const MADE_UP_MAX_BYTES: usize = 200;

impl Node {
    /// The key that `text` stands for. One without a prefix is claimed in the store.
    pub(super) async fn resolve(&self, text: &str) -> Result<Key, Failure> {
        match text.parse::<Key>() {
            Ok(key) if key.suffix.starts_with(CLAIMED) => Err(reserved()),
            Ok(key) => Ok(key),
            Err(KeyError::Text) => Err(invalid(KeyError::Text)),
            Err(_) if text.len() > MADE_UP_MAX_BYTES => Err(invalid(KeyError::Text)),
            Err(_) => self.claim(text).await,
        }
    }

    /// The same, without a claim: `None` for a key that nobody has claimed.
    pub(super) async fn find(&self, text: &str) -> Result<Option<Key>, Failure> {
        if text.parse::<Key>().is_ok()
            || !Key::is_valid_text(text)
            || text.len() > MADE_UP_MAX_BYTES
        {
            return self.resolve(text).await.map(Some);
        }
        let prefix = claim::find(&*self.store, &self.settings.store.prefix, text).await;
        let prefix = prefix.map_err(|error| unclaimed(&error))?;
        Ok(prefix.map(|prefix| claimed(prefix, text)))
    }

    /// The failure with what is known of the key's execution, for a submission that was not taken.
    pub(super) async fn truthful(self: &Arc<Self>, text: &str, mut failure: Failure) -> Failure {
        failure.execution = match self.find(text).await {
            Ok(None) => Execution::NotRun,
            Ok(Some(key)) => self.execution(&key).await,
            Err(_) => Execution::Unknown,
        };
        failure
    }

    /// What can be said of a key whose process can't be asked.
    pub(super) async fn absent(&self, key: &Key) -> Failure {
        let fate = closed::lookup(&*self.store, &self.settings.store.prefix, key).await;
        let registered = self.membership.view().members.value.contains_key(&key.prefix.incarnation);
        match fate {
            Ok(Lookup::Accepted(mark)) => stopped(mark),
            Ok(Lookup::NeverAccepted) => stopped(Mark::NotRun),
            Ok(Lookup::Dropped) => stopped(Mark::Unknown),
            Ok(Lookup::NoRecord) if !registered => gone(),
            Ok(Lookup::NoRecord) | Err(_) => unreachable_coordinator(),
        }
    }

    /// Whether the process that a key names is neither linked nor known to run.
    pub(super) fn is_missing(&self, key: &Key) -> bool {
        let incarnation = key.prefix.incarnation;
        let listed = self.membership.view().members.value.contains_key(&incarnation);
        !listed && self.links.get(incarnation).is_none()
    }

    async fn execution(self: &Arc<Self>, key: &Key) -> Execution {
        match self.look(key).await {
            Ok(KeyStatus::NeverSubmitted) => Execution::NotRun,
            Ok(KeyStatus::Ended(Outcome::Complete(_))) => Execution::Ran,
            Ok(KeyStatus::Running | KeyStatus::Cancelling) => Execution::Unknown,
            Ok(KeyStatus::Ended(Outcome::Failed(failure))) | Err(failure) => failure.execution,
        }
    }

    fn may_claim(&self, per_second: u32) -> Result<(), claim::Error> {
        if self.is_draining() {
            return Err(claim::Error::Stopping);
        }
        let mut budget = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(self.now(), per_second)
    }

    async fn claim(&self, text: &str) -> Result<Key, Failure> {
        let store_prefix = &self.settings.store.prefix;
        let per_second = self.document().limits.claims_per_second;
        if let Err(error) = self.may_claim(per_second) {
            // A key that was claimed before needs no write, and its job may have run.
            let found = claim::find(&*self.store, store_prefix, text).await.ok().flatten();
            return found.map(|prefix| claimed(prefix, text)).ok_or_else(|| unclaimed(&error));
        }
        let (own, _) = self.prefix();
        let prefix = claim::claim(&*self.store, store_prefix, text, own).await;
        prefix.map(|prefix| claimed(prefix, text)).map_err(|error| unclaimed(&error))
    }
}

fn claimed(prefix: Prefix, text: &str) -> Key {
    Key { prefix, suffix: format!("{CLAIMED}{text}") }
}

fn invalid(error: KeyError) -> Failure {
    Failure::new(Reason::Invalid, Execution::NotRun, error.to_string())
}

fn reserved() -> Failure {
    let detail = "ids of your own may not start with ~; choose another id";
    Failure::new(Reason::Invalid, Execution::NotRun, detail)
}

/// A copy of the submission may have been taken elsewhere, so nothing is said of its execution.
fn unclaimed(error: &claim::Error) -> Failure {
    Failure::new(Reason::Unavailable, Execution::Unknown, error.to_string())
        .retry_after(crate::clock::Millis::from_secs(1))
}

fn stopped(mark: Mark) -> Failure {
    let detail = match mark {
        Mark::NotRun => {
            "the VM that the key names has stopped and did not run the job; use a new key"
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

fn gone() -> Failure {
    let detail = "the VM that the key names is neither registered nor reachable; \
                  ask the service itself whether the job ran";
    Failure::new(Reason::Gone, Execution::Unknown, detail)
}
