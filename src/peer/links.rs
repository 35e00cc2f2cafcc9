//! The links of a VM: dialling, heartbeats, and the links that other VMs dialled.
//!
//! Each VM of a pair dials the other. A VM sends its calls and notifications on the link that it dialled, and its
//! replies on the one that it accepted.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

use arc_swap::ArcSwap;
use event_listener::Event;
use smol::Timer;
use smol::channel::{self, Sender};
use smol::future::FutureExt as _;
use smol::net::{TcpListener, TcpStream};

use crate::accept;
use crate::clock::Millis;
use crate::event;
use crate::job::Incarnation;
use crate::runtime;
use crate::wire::{Call, Frame, Hello, Notification, Reply, VERSION};

use super::link::Link;
use super::socket::{self, LinkError, Source};
use super::volume::{Counts, Volume};

/// The pause before an address is dialled again after a first failure. It doubles up to [`REDIAL_MAX`].
const REDIAL_MIN: Millis = Millis(50);

/// The longest pause between two attempts to dial an address, without jitter.
const REDIAL_MAX: Millis = Millis(1000);

/// Failures in a row after which an address is given up if no VM is expected there.
const DIAL_FAILURES_MAX: u32 = 200;

/// The capacity of the send queue of an accepted link, in frames. The queue allocates all of it at once.
const REPLY_QUEUE_FRAMES: usize = 256;

/// The timing of heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// The time between two heartbeats on a link.
    pub interval: Millis,
    /// How long a link may stay without a frame from the peer before it is closed. Bounds each step of the handshake
    /// as well.
    pub timeout: Millis,
}

/// Handles the calls and notifications of peers, and changes of the links.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Handles a call from `from` and returns its reply.
    fn call(
        self: Arc<Self>,
        from: Incarnation,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>>;

    /// Called when a frame has arrived, before it is handled. The VM may have stood still since it was sent, and may
    /// answer with [`Links::close_accepted`].
    fn frame_arrived(self: Arc<Self>) {}

    /// Handles a notification from `from`.
    fn notify(self: Arc<Self>, from: Incarnation, notification: Notification);

    /// Called when a link that this VM dialled has come up or gone down.
    fn links_changed(self: Arc<Self>);

    /// Called when a link that this VM dialled has come up, to exchange state with the peer.
    fn link_up(self: Arc<Self>, link: Arc<Link>);

    /// Called when an accepted link has ended. The replies to its calls are no longer received, so the work for them may
    /// be abandoned.
    fn peer_disconnected(&self, _from: Incarnation) {}

    /// Called when a connection to the address was refused: no process listens there any longer.
    fn connection_refused(&self, _address: SocketAddr) {}

    /// Whether a VM is expected at the address. As long as one is, dialling is not given up.
    fn expects(&self, address: SocketAddr) -> bool;
}

/// The links that this VM dialled, and what it sends on all its links.
#[derive(Debug)]
pub struct Links {
    local: Hello,
    rules: Rules,
    up: ArcSwap<BTreeMap<Incarnation, Arc<Link>>>,
    /// The addresses that are kept linked. The event of an address ends its pause between two dials.
    dialled: Mutex<HashMap<SocketAddr, Arc<Event>>>,
    up_changed: Event,
    /// How often the accepted links have been closed. A link ends when this has changed since its start.
    accepted_epoch: AtomicU64,
    accepted_closed: Event,
    volume: Arc<Volume>,
    /// The number of replies not yet sent, of each accepted link.
    unsent_replies: Mutex<Vec<Weak<AtomicUsize>>>,
}

impl Links {
    /// Creates an empty set of links for the VM that identifies itself as `local`.
    pub fn new(local: Hello, rules: Rules) -> Self {
        Self {
            local,
            rules,
            up: ArcSwap::default(),
            dialled: Mutex::default(),
            up_changed: Event::new(),
            accepted_epoch: AtomicU64::new(0),
            accepted_closed: Event::new(),
            volume: Arc::default(),
            unsent_replies: Mutex::default(),
        }
    }

    /// The identity of this VM, as it sends it to its peers.
    pub const fn local(&self) -> &Hello {
        &self.local
    }

    /// The links that are up, by the incarnation of the peer.
    pub fn up(&self) -> Arc<BTreeMap<Incarnation, Arc<Link>>> {
        self.up.load_full()
    }

    /// The link to a VM, if it is up.
    pub fn get(&self, incarnation: Incarnation) -> Option<Arc<Link>> {
        self.up.load().get(&incarnation).cloned()
    }

    /// Waits until the link to a VM is up; `None` if it is not after `timeout`.
    pub async fn wait_for(&self, incarnation: Incarnation, timeout: Millis) -> Option<Arc<Link>> {
        let found = async {
            loop {
                let listener = self.up_changed.listen();
                if let Some(link) = self.get(incarnation) {
                    return Some(link);
                }
                listener.await;
            }
        };
        let expired = async {
            Timer::after(timeout.duration()).await;
            None
        };
        found.or(expired).await
    }

    /// The frames and bytes that this VM has sent over its links so far.
    pub fn volume(&self) -> Counts {
        self.volume.counts()
    }

    /// The number of calls of other VMs whose replies are not yet sent.
    pub fn unsent_replies(&self) -> usize {
        let mut links = self.unsent_replies.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|unsent| unsent.strong_count() > 0);
        links.iter().filter_map(Weak::upgrade).map(|unsent| unsent.load(Ordering::Relaxed)).sum()
    }

    /// Dials an address in the background and keeps a link to it up, unless that is being done already.
    pub fn connect(self: &Arc<Self>, address: SocketAddr, handler: &Arc<dyn Handler>) {
        let mut dialled = self.dialled.lock().unwrap_or_else(PoisonError::into_inner);
        if address == self.local.peer_address || dialled.contains_key(&address) {
            return;
        }
        let redial = Arc::new(Event::new());
        dialled.insert(address, Arc::clone(&redial));
        let links = Arc::clone(self);
        let handler = Arc::clone(handler);
        runtime::spawn(async move { links.keep_linked(address, &redial, &handler).await }).detach();
    }

    /// Closes all accepted links. Frames that were not handled yet are dropped.
    pub fn close_accepted(&self) {
        self.accepted_epoch.fetch_add(1, Ordering::Relaxed);
        self.accepted_closed.notify(usize::MAX);
    }

    /// Fails once the accepted links have been closed since `epoch`.
    async fn wait_until_closed(&self, epoch: u64) -> Result<(), LinkError> {
        let closed = self.accepted_closed.listen();
        self.check_open(epoch)?;
        closed.await;
        self.check_open(epoch)
    }

    fn check_open(&self, epoch: u64) -> Result<(), LinkError> {
        if self.accepted_epoch.load(Ordering::Relaxed) == epoch {
            return Ok(());
        }
        Err(LinkError::new("this VM stood still, and its peers may have given the link up"))
    }

    /// Includes the replies of a newly accepted link in [`Self::unsent_replies`].
    fn track_replies(&self, unsent: &Arc<AtomicUsize>) {
        let mut links = self.unsent_replies.lock().unwrap_or_else(PoisonError::into_inner);
        links.push(Arc::downgrade(unsent));
    }

    /// Ends the pause before the next dial of an address, after a VM that listens there has connected.
    fn redial_now(&self, address: SocketAddr) {
        let dialled = self.dialled.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(redial) = dialled.get(&address) {
            redial.notify(usize::MAX);
        }
    }

    /// Accepts connections from other VMs, forever.
    pub async fn listen(self: Arc<Self>, listener: TcpListener, handler: Arc<dyn Handler>) {
        loop {
            let stream = accept::next(&listener).await;
            let (links, handler) = (Arc::clone(&self), Arc::clone(&handler));
            runtime::spawn(async move {
                if let Err(why) = links.serve(stream, &handler).await {
                    event!(debug, "link-closed", reason = why);
                }
            })
            .detach();
        }
    }

    /// Serves a connection that another VM dialled, until it ends, and dials that VM as well.
    ///
    /// While the store is out, this is the only way to learn of a new VM.
    pub async fn serve(
        self: &Arc<Self>,
        stream: TcpStream,
        handler: &Arc<dyn Handler>,
    ) -> Result<(), LinkError> {
        drop(stream.set_nodelay(true));
        let epoch = self.accepted_epoch.load(Ordering::Relaxed);
        let (mut sink, mut source) =
            within(self.rules.timeout, socket::accept(stream, Arc::clone(&self.volume))).await?;
        sink.send(&Frame::Hello(self.local.clone())).await?;
        let hello = within(self.rules.timeout, receive_hello(&mut source)).await?;
        self.connect(hello.peer_address, handler);
        self.redial_now(hello.peer_address);
        let (queue, frames) = channel::bounded(REPLY_QUEUE_FRAMES);
        let unsent = Arc::new(AtomicUsize::new(0));
        self.track_replies(&unsent);
        let incoming = async {
            loop {
                let frame = within(self.rules.timeout, source.next()).await?;
                Arc::clone(handler).frame_arrived();
                self.check_open(epoch)?;
                handle_frame(&hello, frame, &queue, &unsent, handler)?;
            }
        };
        let closed = self.wait_until_closed(epoch);
        let result = closed.or(incoming).or(sink.send_queued(&frames, &unsent)).await;
        handler.peer_disconnected(hello.incarnation);
        result
    }

    /// Keeps a link to an address up. Returns if the address turns out to be this VM's, or if it is given up.
    async fn keep_linked(
        self: Arc<Self>,
        address: SocketAddr,
        redial: &Event,
        handler: &Arc<dyn Handler>,
    ) {
        let mut pause = REDIAL_MIN;
        let mut failures = 0;
        while failures < DIAL_FAILURES_MAX || handler.expects(address) {
            let redial_now = redial.listen();
            match self.dial(address, handler).await {
                Ok(Closed::Local) => return,
                Ok(Closed::Lost(why)) => {
                    event!(info, "link-down", peer = address, reason = why);
                    pause = REDIAL_MIN;
                    failures = 0;
                }
                Err(why) => {
                    event!(debug, "dial-failed", peer = address, reason = why);
                    if why.is_refusal() {
                        handler.connection_refused(address);
                    }
                    failures += 1;
                }
            }
            let jitter = fastrand::u64(0..=pause.0 / 2);
            let paused = async {
                Timer::after((pause + Millis(jitter)).duration()).await;
            };
            redial_now.or(paused).await;
            pause = (pause * 2).min(REDIAL_MAX);
        }
        self.dialled.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Dials an address once. Runs the link until it is closed; fails if it does not come up.
    async fn dial(
        &self,
        address: SocketAddr,
        handler: &Arc<dyn Handler>,
    ) -> Result<Closed, LinkError> {
        let timeout = self.rules.timeout;
        let connect = async {
            let stream = TcpStream::connect(address).await;
            stream.map_err(|error| LinkError::connect(&error))
        };
        let stream = within(timeout, connect).await?;
        drop(stream.set_nodelay(true));
        let (mut sink, mut source) =
            within(timeout, socket::dial(stream, Arc::clone(&self.volume))).await?;
        sink.send(&Frame::Hello(self.local.clone())).await?;
        let hello = within(timeout, receive_hello(&mut source)).await?;
        if hello.incarnation == self.local.incarnation {
            return Ok(Closed::Local);
        }
        let (link, frames) = Link::new(hello);
        let link = Arc::new(link);
        event!(info, "link-up", peer = address, vm = link.hello.vm);
        self.update(handler, |up| {
            up.insert(link.hello.incarnation, Arc::clone(&link));
        });
        Arc::clone(handler).link_up(Arc::clone(&link));
        let unsent_replies = AtomicUsize::new(0);
        let sending = sink.send_queued(&frames, &unsent_replies);
        let result = self.run(&link, &mut source, sending).await;
        link.close();
        self.update(handler, |up| {
            let current = up.get(&link.hello.incarnation);
            if current.is_some_and(|current| Arc::ptr_eq(current, &link)) {
                up.remove(&link.hello.incarnation);
            }
        });
        Ok(Closed::Lost(result.err().map_or_else(String::new, |why| why.to_string())))
    }

    /// Sends frames and heartbeats on a link that this VM dialled and takes its replies, until it fails or is closed.
    async fn run(
        &self,
        link: &Link,
        source: &mut Source,
        sending: impl Future<Output = Result<(), LinkError>>,
    ) -> Result<(), LinkError> {
        let heartbeats = async {
            loop {
                link.send_heartbeat();
                Timer::after(self.rules.interval.duration()).await;
            }
        };
        let replies = async {
            loop {
                let frame = within(self.rules.timeout, source.next()).await?;
                if let Frame::Reply { id, reply } = frame {
                    link.handle_reply(id, reply);
                }
            }
        };
        let closed = async {
            link.closed().await;
            Err(LinkError::new("the send queue was full"))
        };
        closed.or(sending).or(replies).or(heartbeats).await
    }

    /// Changes the set of links that are up, and reports it.
    fn update(
        &self,
        handler: &Arc<dyn Handler>,
        change: impl Fn(&mut BTreeMap<Incarnation, Arc<Link>>),
    ) {
        self.up.rcu(|up| {
            let mut up = BTreeMap::clone(up);
            change(&mut up);
            up
        });
        self.up_changed.notify(usize::MAX);
        Arc::clone(handler).links_changed();
    }
}

/// Why a link that came up was closed.
enum Closed {
    /// The peer is this VM itself.
    Local,
    /// The link was lost; holds the reason.
    Lost(String),
}

/// Handles a frame that arrived on an accepted link.
fn handle_frame(
    hello: &Hello,
    frame: Frame,
    queue: &Sender<Frame>,
    unsent: &AtomicUsize,
    handler: &Arc<dyn Handler>,
) -> Result<(), LinkError> {
    match frame {
        Frame::Heartbeat => {
            drop(queue.try_send(Frame::Heartbeat));
        }
        Frame::Notification(notification) => {
            Arc::clone(handler).notify(hello.incarnation, notification);
        }
        Frame::Call { id, call } => {
            let reply = Arc::clone(handler).call(hello.incarnation, call);
            let queue = queue.clone();
            unsent.fetch_add(1, Ordering::Relaxed);
            runtime::spawn(async move {
                let reply = reply.await;
                drop(queue.send(Frame::Reply { id, reply }).await);
            })
            .detach();
        }
        Frame::Hello(_) | Frame::Reply { .. } => {
            return Err(LinkError::new(
                "the peer sent a hello or a reply on a link that it dialled",
            ));
        }
    }
    Ok(())
}

async fn receive_hello(source: &mut Source) -> Result<Hello, LinkError> {
    match source.next().await? {
        Frame::Hello(hello) if hello.version == VERSION => Ok(hello),
        Frame::Hello(hello) => Err(LinkError::new(format!(
            "VM {} has protocol version {}, not {VERSION}; run the same release on all VMs",
            hello.vm, hello.version
        ))),
        _ => Err(LinkError::new("the first frame of the peer was not a hello")),
    }
}

/// Fails if `work` takes longer than `timeout`.
async fn within<T>(
    timeout: Millis,
    work: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let expired = async {
        Timer::after(timeout.duration()).await;
        Err(LinkError::new(format!("no response from the peer for {timeout}")))
    };
    work.or(expired).await
}
