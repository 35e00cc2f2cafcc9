//! All links of a VM: dialling, heartbeats, and what comes in on links that others dialled.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

use arc_swap::ArcSwap;
use event_listener::Event;
use smol::Timer;
use smol::channel::{self, Sender};
use smol::future::FutureExt as _;
use smol::net::{TcpListener, TcpStream};

use crate::clock::Millis;
use crate::event;
use crate::job::Incarnation;
use crate::runtime;
use crate::wire::{Call, Frame, Hello, Notification, Reply, VERSION};

use super::link::Link;
use super::socket::{self, Broken, Source};
use super::volume::{Counts, Volume};

/// The pause before the first new try to dial; it doubles up to [`REDIAL_MAX`].
const REDIAL_MIN: Millis = Millis(50);

/// The longest pause between tries to dial.
const REDIAL_MAX: Millis = Millis(1000);

/// Tries in a row after which an address is given up where no VM is expected.
const DIALS_MAX: u32 = 200;

/// The pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Frames that may wait to be sent on a link that another VM dialled. The queue takes its memory at once.
const REPLIES_MAX: usize = 256;

/// How often heartbeats go out, and how long silence may last before a link is given up.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// The time between heartbeats.
    pub interval: Millis,
    /// The longest silence.
    pub timeout: Millis,
}

/// What a VM does with what its peers ask and tell.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Answers a question of `from`.
    fn call(
        self: Arc<Self>,
        from: Incarnation,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>>;

    /// Takes news from `from`.
    fn notify(self: Arc<Self>, from: Incarnation, notification: Notification);

    /// A link to a VM has come up or gone down.
    fn links_changed(self: Arc<Self>);

    /// A link to a VM has come up: what it has and this VM lacks is to be asked for.
    fn link_up(self: Arc<Self>, link: Arc<Link>);

    /// The link over which a VM asked has ended; what it asked for may be given up.
    fn peer_disconnected(&self, _from: Incarnation) {}

    /// Nothing listens at the address: the process that did has ended.
    fn connection_refused(&self, _address: SocketAddr) {}

    /// Whether there should be a VM at the address, so that it is dialled for as long as that is so.
    fn expects(&self, address: SocketAddr) -> bool;
}

/// All links that this VM dialled.
#[derive(Debug)]
pub struct Links {
    own: Hello,
    rules: Rules,
    up: ArcSwap<BTreeMap<Incarnation, Arc<Link>>>,
    /// The addresses that are dialled. An event ends the pause before the next dial of its address.
    dialled: Mutex<HashMap<SocketAddr, Arc<Event>>>,
    changed: Event,
    volume: Arc<Volume>,
    /// Answers not yet sent, by link that another VM dialled.
    owed: Mutex<Vec<Weak<AtomicUsize>>>,
}

impl Links {
    /// No links yet, for the VM that says `own`.
    pub fn new(own: Hello, rules: Rules) -> Self {
        Self {
            own,
            rules,
            up: ArcSwap::default(),
            dialled: Mutex::default(),
            changed: Event::new(),
            volume: Arc::default(),
            owed: Mutex::default(),
        }
    }

    /// Who this VM says it is.
    pub const fn local(&self) -> &Hello {
        &self.own
    }

    /// The links that are up.
    pub fn up(&self) -> Arc<BTreeMap<Incarnation, Arc<Link>>> {
        self.up.load_full()
    }

    /// The link to a VM, if it is up.
    pub fn get(&self, incarnation: Incarnation) -> Option<Arc<Link>> {
        self.up.load().get(&incarnation).cloned()
    }

    /// The link to a VM once it is up, or nothing after `patience`.
    pub async fn wait_for(&self, incarnation: Incarnation, patience: Millis) -> Option<Arc<Link>> {
        let found = async {
            loop {
                let listener = self.changed.listen();
                if let Some(link) = self.get(incarnation) {
                    return Some(link);
                }
                listener.await;
            }
        };
        let late = async {
            Timer::after(patience.duration()).await;
            None
        };
        found.or(late).await
    }

    /// What this VM has sent over its links so far.
    pub fn volume(&self) -> Counts {
        self.volume.counts()
    }

    /// The answers that other VMs still wait for.
    pub fn unsent_replies(&self) -> usize {
        let mut owed = self.owed.lock().unwrap_or_else(PoisonError::into_inner);
        owed.retain(|count| count.strong_count() > 0);
        owed.iter().filter_map(Weak::upgrade).map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// Dials an address, and keeps a link to it, unless that is being done already.
    pub fn connect(self: &Arc<Self>, address: SocketAddr, handler: &Arc<dyn Handler>) {
        let mut dialled = self.dialled.lock().unwrap_or_else(PoisonError::into_inner);
        if address == self.own.peer_address || dialled.contains_key(&address) {
            return;
        }
        let hurry = Arc::new(Event::new());
        dialled.insert(address, Arc::clone(&hurry));
        let links = Arc::clone(self);
        let handler = Arc::clone(handler);
        runtime::spawn(async move { links.keep(address, &hurry, &handler).await }).detach();
    }

    /// Dials an address at once if it waits for its next dial: a VM answers there again.
    fn hurry(&self, address: SocketAddr) {
        let dialled = self.dialled.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(hurry) = dialled.get(&address) {
            hurry.notify(usize::MAX);
        }
    }

    /// Accepts the connections that other VMs dial, for ever.
    pub async fn listen(self: Arc<Self>, listener: TcpListener, handler: Arc<dyn Handler>) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    event!(warn, "accept-failed", reason = error);
                    Timer::after(ACCEPT_PAUSE.duration()).await;
                    continue;
                }
            };
            let (links, handler) = (Arc::clone(&self), Arc::clone(&handler));
            runtime::spawn(async move {
                if let Err(why) = links.serve(stream, &handler).await {
                    event!(debug, "link-closed", reason = why);
                }
            })
            .detach();
        }
    }

    /// Serves a connection that another VM dialled, until it ends.
    ///
    /// The VM at the other end is dialled too: it may be new, and known to nobody while the store is out.
    pub async fn serve(
        self: &Arc<Self>,
        stream: TcpStream,
        handler: &Arc<dyn Handler>,
    ) -> Result<(), Broken> {
        drop(stream.set_nodelay(true));
        let (mut sink, mut source) =
            within(self.rules.timeout, socket::accept(stream, Arc::clone(&self.volume))).await?;
        sink.send(&Frame::Hello(self.own.clone())).await?;
        let hello = within(self.rules.timeout, receive_hello(&mut source)).await?;
        self.connect(hello.peer_address, handler);
        self.hurry(hello.peer_address);
        let (queue, frames) = channel::bounded(REPLIES_MAX);
        let owed = Arc::new(AtomicUsize::new(0));
        self.owed.lock().unwrap_or_else(PoisonError::into_inner).push(Arc::downgrade(&owed));
        let incoming = async {
            loop {
                let frame = within(self.rules.timeout, source.next()).await?;
                serve_frame(&hello, frame, &queue, &owed, handler)?;
            }
        };
        let ended = incoming.or(sink.drain(&frames, &owed)).await;
        handler.peer_disconnected(hello.incarnation);
        ended
    }

    /// Dials again and again; ends when the address is given up.
    async fn keep(self: Arc<Self>, address: SocketAddr, hurry: &Event, handler: &Arc<dyn Handler>) {
        let mut pause = REDIAL_MIN;
        let mut failures = 0;
        while failures < DIALS_MAX || handler.expects(address) {
            let hurried = hurry.listen();
            match self.dial(address, handler).await {
                Ok(Ended::Own) => return,
                Ok(Ended::Cut(why)) => {
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
            let waited = async {
                Timer::after((pause + Millis(jitter)).duration()).await;
            };
            hurried.or(waited).await;
            pause = (pause * 2).min(REDIAL_MAX);
        }
        self.dialled.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    async fn dial(&self, address: SocketAddr, handler: &Arc<dyn Handler>) -> Result<Ended, Broken> {
        let timeout = self.rules.timeout;
        let connect = async {
            let stream = TcpStream::connect(address).await;
            stream.map_err(|error| Broken::of_dial(&error))
        };
        let stream = within(timeout, connect).await?;
        drop(stream.set_nodelay(true));
        let (mut sink, mut source) =
            within(timeout, socket::dial(stream, Arc::clone(&self.volume))).await?;
        sink.send(&Frame::Hello(self.own.clone())).await?;
        let hello = within(timeout, receive_hello(&mut source)).await?;
        if hello.incarnation == self.own.incarnation {
            return Ok(Ended::Own);
        }
        let (link, frames) = Link::new(hello);
        let link = Arc::new(link);
        event!(info, "link-up", peer = address, vm = link.hello.vm);
        self.change(handler, |up| {
            up.insert(link.hello.incarnation, Arc::clone(&link));
        });
        Arc::clone(handler).link_up(Arc::clone(&link));
        let ended = self.run(&link, &mut source, sink.drain(&frames, &AtomicUsize::new(0))).await;
        link.end();
        self.change(handler, |up| {
            let current = up.get(&link.hello.incarnation);
            if current.is_some_and(|current| Arc::ptr_eq(current, &link)) {
                up.remove(&link.hello.incarnation);
            }
        });
        Ok(Ended::Cut(ended.err().map_or_else(String::new, |why| why.to_string())))
    }

    async fn run(
        &self,
        link: &Link,
        source: &mut Source,
        sending: impl Future<Output = Result<(), Broken>>,
    ) -> Result<(), Broken> {
        let beats = async {
            loop {
                link.beat();
                Timer::after(self.rules.interval.duration()).await;
            }
        };
        let answers = async {
            loop {
                let frame = within(self.rules.timeout, source.next()).await?;
                if let Frame::Reply { id, reply } = frame {
                    link.answer(id, reply);
                }
            }
        };
        sending.or(answers).or(beats).await
    }

    fn change(
        &self,
        handler: &Arc<dyn Handler>,
        change: impl Fn(&mut BTreeMap<Incarnation, Arc<Link>>),
    ) {
        self.up.rcu(|up| {
            let mut up = BTreeMap::clone(up);
            change(&mut up);
            up
        });
        self.changed.notify(usize::MAX);
        Arc::clone(handler).links_changed();
    }
}

/// How a link that was made ended.
enum Ended {
    /// The address is this VM's own.
    Own,
    /// It broke.
    Cut(String),
}

fn serve_frame(
    hello: &Hello,
    frame: Frame,
    queue: &Sender<Frame>,
    owed: &AtomicUsize,
    handler: &Arc<dyn Handler>,
) -> Result<(), Broken> {
    match frame {
        Frame::Beat => {
            drop(queue.try_send(Frame::Beat));
        }
        Frame::Notification(notification) => {
            Arc::clone(handler).notify(hello.incarnation, notification);
        }
        Frame::Call { id, call } => {
            let answer = Arc::clone(handler).call(hello.incarnation, call);
            let queue = queue.clone();
            owed.fetch_add(1, Ordering::Relaxed);
            runtime::spawn(async move {
                let reply = answer.await;
                drop(queue.send(Frame::Reply { id, reply }).await);
            })
            .detach();
        }
        Frame::Hello(_) | Frame::Reply { .. } => {
            return Err(Broken::because("a frame came out of turn"));
        }
    }
    Ok(())
}

async fn receive_hello(source: &mut Source) -> Result<Hello, Broken> {
    match source.next().await? {
        Frame::Hello(hello) if hello.version == VERSION => Ok(hello),
        Frame::Hello(hello) => Err(Broken::because(format!(
            "the peer speaks version {}, not {VERSION}",
            hello.version
        ))),
        _ => Err(Broken::because("the peer did not say hello first")),
    }
}

async fn within<T>(
    limit: Millis,
    work: impl Future<Output = Result<T, Broken>>,
) -> Result<T, Broken> {
    let late = async {
        Timer::after(limit.duration()).await;
        Err(Broken::because(format!("silent for {limit}")))
    };
    work.or(late).await
}
