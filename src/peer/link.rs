//! A link that this VM dialled, and the calls on it that wait for a reply.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use smol::channel::{self, Receiver, Sender, TrySendError};

use crate::wire::{Call, Frame, Hello, Notification, Reply};

/// The capacity of the send queue of a link, in frames. The queue allocates all of it at once.
const QUEUE_FRAMES: usize = 256;

/// A link to another VM, from its handshake until it is closed.
#[derive(Debug)]
pub struct Link {
    /// The identity of the VM at the other end.
    pub hello: Hello,
    queue: Sender<Frame>,
    next_call: AtomicU64,
    /// Where the reply to each pending call goes, by call id; `None` once the link is closed.
    pending: Mutex<Option<HashMap<u64, Sender<Reply>>>>,
}

/// The link was lost before the reply arrived; the call may or may not have been received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Disconnected;

impl fmt::Display for Disconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the link was lost before the reply arrived; call again on the next link")
    }
}

impl std::error::Error for Disconnected {}

impl Link {
    /// Creates a link to the VM that sent `hello`, and the queue of the frames to send on it.
    pub fn new(hello: Hello) -> (Self, Receiver<Frame>) {
        let (queue, frames) = channel::bounded(QUEUE_FRAMES);
        let pending = Mutex::new(Some(HashMap::new()));
        (Self { hello, queue, next_call: AtomicU64::new(1), pending }, frames)
    }

    /// Sends a call and waits for its reply. Fails if the link is closed first.
    pub async fn call(&self, call: Call) -> Result<Reply, Disconnected> {
        let id = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, reply) = channel::bounded(1);
        self.pending().as_mut().ok_or(Disconnected)?.insert(id, sender);
        self.queue.send(Frame::Call { id, call }).await.map_err(|_| Disconnected)?;
        reply.recv().await.map_err(|_| Disconnected)
    }

    /// Queues a notification. If the queue is full, closes the link, by which the peer learns that it may have missed one.
    pub fn notify(&self, notification: Notification) {
        let queued = self.queue.try_send(Frame::Notification(notification));
        if matches!(queued, Err(TrySendError::Full(_))) {
            self.close();
        }
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Queues a heartbeat, or drops it if the queue is full.
    pub fn send_heartbeat(&self) {
        drop(self.queue.try_send(Frame::Heartbeat));
    }

    /// Passes a reply on to the call that waits for it, or drops it if none does.
    pub fn handle_reply(&self, id: u64, reply: Reply) {
        let sender = self.pending().as_mut().and_then(|pending| pending.remove(&id));
        if let Some(sender) = sender {
            drop(sender.try_send(reply));
        }
    }

    /// Closes the link. Every pending call fails with [`Disconnected`].
    pub fn close(&self) {
        self.queue.close();
        drop(self.pending().take());
    }

    fn pending(&self) -> MutexGuard<'_, Option<HashMap<u64, Sender<Reply>>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
