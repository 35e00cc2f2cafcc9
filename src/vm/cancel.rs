//! Cancels batches on request, at whichever VM the request arrives.
//!
//! The VM whose caller waits for a batch ends it: nothing of it starts any longer, and what other VMs run of it is
//! abandoned there. A VM that doesn't know a batch asks all others by [`Call::Cancel`], whose key names the VM that is
//! asked, and in place of the caller's own id the digest of the queue and the batch's id.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use futures_util::future::join_all;
use sha2::{Digest as _, Sha256};
use smol::Timer;
use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt as _;

use crate::clock::Millis;
use crate::job::{Key, Prefix};
use crate::peer::Link;
use crate::wire::{Call, KeyStatus, Reply};

use super::node::Node;

/// How long the other VMs may take to tell whether they know a batch.
const TIMEOUT: Millis = Millis(1000);

/// What a request to cancel a batch has achieved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cancellation {
    /// The batch is cancelled: nothing of it starts any longer, and what runs is being stopped.
    Cancelled,
    /// No VM knows the batch, or it has ended.
    Unknown,
    /// No VM that responded knows the batch, and one did not respond.
    Uncertain,
}

impl fmt::Display for Cancellation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
            Self::Uncertain => "uncertain",
        })
    }
}

/// The batches whose callers wait at this VM, by the digest of their queue and id. A batch that is submitted again while
/// it still runs is there twice.
#[derive(Debug, Default)]
pub(super) struct Cancellable {
    batches: Mutex<Submissions>,
}

/// The number of each submission of a batch and where its cancelling is requested, by the digest of the batch.
type Submissions = HashMap<String, Vec<(u64, Sender<Confirmation>)>>;

/// Where to confirm that a batch was cancelled. It is dropped if the batch ends otherwise.
type Confirmation = Sender<()>;

/// A batch that can be cancelled until this is dropped.
#[derive(Debug)]
pub(super) struct Entry<'a> {
    cancellable: &'a Cancellable,
    digest: String,
    number: u64,
    requests: Receiver<Confirmation>,
}

impl Cancellable {
    /// Lets a batch be cancelled. The `number` tells it from other submissions of the same batch.
    pub fn register(&self, queue: &str, id: &str, number: u64) -> Entry<'_> {
        let (sender, requests) = channel::unbounded();
        let digest = digest(queue, id);
        self.batches().entry(digest.clone()).or_default().push((number, sender));
        Entry { cancellable: self, digest, number, requests }
    }

    /// Cancels all submissions of a batch at this VM; true if there was one that had not ended.
    pub async fn cancel(&self, digest: &str) -> bool {
        let mut is_cancelled = false;
        for confirmed in self.request(digest) {
            is_cancelled |= confirmed.recv().await.is_ok();
        }
        is_cancelled
    }

    fn request(&self, digest: &str) -> Vec<Receiver<()>> {
        let mut pending = Vec::new();
        for (_, requests) in self.batches().get(digest).into_iter().flatten() {
            let (confirmation, confirmed) = channel::bounded(1);
            if requests.try_send(confirmation).is_ok() {
                pending.push(confirmed);
            }
        }
        pending
    }

    fn batches(&self) -> MutexGuard<'_, Submissions> {
        self.batches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry<'_> {
    /// Waits until the batch is to be cancelled. The confirmation is due once it has been.
    pub async fn requested(&self) -> Confirmation {
        match self.requests.recv().await {
            Ok(confirmation) => confirmation,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        let mut batches = self.cancellable.batches();
        let Some(submissions) = batches.get_mut(&self.digest) else { return };
        submissions.retain(|(number, _)| *number != self.number);
        if submissions.is_empty() {
            batches.remove(&self.digest);
        }
    }
}

impl Node {
    /// Cancels a batch, wherever its caller waits.
    pub async fn cancel(&self, queue: &str, id: &str) -> Cancellation {
        let digest = digest(queue, id);
        if self.cancellable.cancel(&digest).await {
            return Cancellation::Cancelled;
        }
        let all_linked = self.reaches_all();
        let links = self.links.up();
        let answers = join_all(links.values().map(|link| ask(link, &digest))).await;
        if answers.contains(&Some(true)) {
            Cancellation::Cancelled
        } else if all_linked && !answers.contains(&None) {
            Cancellation::Unknown
        } else {
            Cancellation::Uncertain
        }
    }

    /// Whether every VM that may run is linked: registered, and not known to have ended.
    fn reaches_all(&self) -> bool {
        let peers = self.known_peers();
        peers.values().all(|peer| peer.presence.linked || peer.presence.refused)
    }
}

/// Whether a VM had the batch and has cancelled it; `None` if that is not known in time.
async fn ask(link: &Link, digest: &str) -> Option<bool> {
    let prefix = Prefix { incarnation: link.hello.incarnation, window: 0 };
    let call = link.call(Call::Cancel { key: Key { prefix, suffix: digest.to_owned() } });
    let reply = async { call.await.ok() };
    let expired = async {
        Timer::after(TIMEOUT.duration()).await;
        None
    };
    match reply.or(expired).await? {
        Reply::KeyStatus(status) => Some(status == KeyStatus::Cancelling),
        _ => None,
    }
}

/// The digest of a queue's name and a batch's id, as text that any key may contain.
fn digest(queue: &str, id: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update((queue.len() as u64).to_be_bytes());
    hasher.update(queue);
    hasher.update(id);
    URL_SAFE_NO_PAD.encode(hasher.finalize())
}
