//! One link that this VM dialled, and the questions that wait for an answer on it.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use smol::channel::{self, Receiver, Sender};

use crate::wire::{Call, Frame, Hello, Notification, Reply};

/// Frames that may wait to be sent on one link. The queue takes its memory at once.
const QUEUE_FRAMES: usize = 256;

/// A link to another VM, from its handshake to its end.
#[derive(Debug)]
pub struct Link {
    /// Who is at the other end.
    pub hello: Hello,
    queue: Sender<Frame>,
    next_call: AtomicU64,
    /// `None` once the link has ended.
    waiting: Mutex<Option<HashMap<u64, Sender<Reply>>>>,
}

/// The link ended before the answer came; the question may or may not have arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Disconnected;

impl fmt::Display for Disconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the link was cut before the answer came; ask again on the next link")
    }
}

impl std::error::Error for Disconnected {}

impl Link {
    /// A link to the VM that said `hello`, and the queue whose frames are to be sent on it.
    pub fn new(hello: Hello) -> (Self, Receiver<Frame>) {
        let (queue, frames) = channel::bounded(QUEUE_FRAMES);
        let waiting = Mutex::new(Some(HashMap::new()));
        (Self { hello, queue, next_call: AtomicU64::new(1), waiting }, frames)
    }

    /// Asks a question and waits for its answer, or for the end of the link.
    pub async fn call(&self, call: Call) -> Result<Reply, Disconnected> {
        let id = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = channel::bounded(1);
        self.waiting().as_mut().ok_or(Disconnected)?.insert(id, sender);
        self.queue.send(Frame::Call { id, call }).await.map_err(|_| Disconnected)?;
        answer.recv().await.map_err(|_| Disconnected)
    }

    /// Tells something that needs no answer; dropped if too much waits already.
    pub fn notify(&self, notification: Notification) {
        drop(self.queue.try_send(Frame::Notification(notification)));
    }

    /// Sends a heartbeat.
    pub fn beat(&self) {
        drop(self.queue.try_send(Frame::Beat));
    }

    /// Takes the answer to a question. One that nobody waits for is dropped.
    pub fn answer(&self, id: u64, reply: Reply) {
        let sender = self.waiting().as_mut().and_then(|waiting| waiting.remove(&id));
        if let Some(sender) = sender {
            drop(sender.try_send(reply));
        }
    }

    /// Ends the link: every question that waits is cut.
    pub fn end(&self) {
        self.queue.close();
        drop(self.waiting().take());
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, Option<HashMap<u64, Sender<Reply>>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
