//! The start and the planned stop of a VM.

use std::fmt;
use std::io::{self, Write as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use async_signal::{Signal, Signals};
use http_types::{Request, Response, StatusCode};
use smol::Timer;
use smol::future::FutureExt as _;
use smol::net::TcpListener;
use smol::stream::StreamExt as _;

use crate::clock::{Clock, Millis};
use crate::config::{self, Document, Holder, Service, Snapshot, Target};
use crate::event;
use crate::http::server;
use crate::invariant;
use crate::job::Incarnation;
use crate::membership::{self, Membership, Registration, closed};
use crate::peer::{Handler, Links, Rules};
use crate::platform::{Consul, Memory, Store, WATCH_WAIT};
use crate::runtime;
use crate::settings::Settings;
use crate::wire::{Hello, VERSION};

use super::meter;
use super::node::Node;

/// How often a drain looks whether the last job has ended.
const DRAIN_STEP: Millis = Millis(20);

/// The time that the closing record gets even if the drain took all there was.
const CLOSE_MIN: Millis = Millis(2000);

/// Why a VM could not run.
#[derive(Debug)]
pub enum Error {
    /// An address can't be listened on.
    Listen(SocketAddr, io::Error),
    /// The system refused a thread, a signal handler or another thing that a start needs.
    System(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => {
                write!(
                    f,
                    "can't listen on {address}: {error}; choose a free address under `listen`"
                )
            }
            Self::System(error) => {
                write!(f, "the system refused something: {error}; raise its limits")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

/// Runs a VM until it is stopped.
pub fn run(settings: Settings) -> Result<(), Error> {
    invariant::exit_on_panic();
    runtime::start(settings.threads)?;
    smol::block_on(async {
        let store = Arc::new(Consul::new(settings.store.address, settings.store.timeout));
        let signals = signals()?;
        let node = start(settings, store, Holder::default()).await?;
        let reporter = meter::start(&node)?;
        stop(&node, signals).await;
        if let Some(reporter) = reporter {
            reporter.close();
        }
        Ok(())
    })
}

/// Runs a VM with `targets` built-in echo targets and no store until it is stopped.
pub fn dev(targets: usize) -> Result<(), Error> {
    invariant::exit_on_panic();
    let settings = Settings::for_dev();
    runtime::start(settings.threads)?;
    smol::block_on(async {
        let document = dev_document(&settings.domain, targets).await?;
        let store = Arc::new(Memory::new(Clock::start()));
        let holder = Holder::new(Snapshot::of_document(document));
        let signals = signals()?;
        let node = start(settings, store, holder).await?;
        stop(&node, signals).await;
        Ok(())
    })
}

/// Takes the signals to stop. From here on they end nothing by themselves.
fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}

async fn start(
    settings: Settings,
    store: Arc<dyn Store>,
    holder: Holder,
) -> Result<Arc<Node>, Error> {
    let callers = listen(settings.listen.callers).await?;
    let peers = listen(settings.listen.peers).await?;
    let incarnation = Incarnation::draw();
    let advertised = settings.advertise.peers.unwrap_or(peers.local_addr()?);
    let hello = Hello {
        version: VERSION,
        vm: settings.vm.clone(),
        incarnation,
        domain: settings.domain.clone(),
        peers: advertised,
    };
    let membership = Membership::new(Registration {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        incarnation,
        callers: settings.advertise.callers.unwrap_or(callers.local_addr()?),
        peers: advertised,
        draining: false,
    });
    let heartbeat = settings.heartbeat;
    let rules = Rules { every: heartbeat.every, patience: heartbeat.patience };
    let links = Arc::new(Links::new(hello, rules));
    let node =
        Arc::new(Node::new(settings, incarnation, links, store, Arc::new(holder), membership));
    node.configure(&node.document());
    announce(&callers, &peers)?;
    runtime::spawn(Arc::clone(&node).tick()).detach();
    runtime::spawn(Arc::clone(&node).follow_config()).detach();
    runtime::spawn(Arc::clone(&node).follow_view()).detach();
    runtime::spawn(watch_config(Arc::clone(&node))).detach();
    runtime::spawn(watch_members(Arc::clone(&node))).detach();
    runtime::spawn(watch_list(Arc::clone(&node))).detach();
    runtime::spawn(keep_lease(Arc::clone(&node))).detach();
    runtime::spawn(serve_peers(Arc::clone(&node), peers)).detach();
    runtime::spawn(serve_callers(Arc::clone(&node), callers)).detach();
    let handler = Arc::clone(&node) as Arc<dyn Handler>;
    for &address in &node.settings.peers {
        node.links.know(address, &handler);
    }
    node.refresh_members();
    Ok(node)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Tells on standard output where the VM listens, in one line.
fn announce(callers: &TcpListener, peers: &TcpListener) -> io::Result<()> {
    let (callers, peers) = (callers.local_addr()?, peers.local_addr()?);
    let mut output = io::stdout().lock();
    writeln!(output, "event=listening callers={callers} peers={peers}")?;
    output.flush()
}

async fn serve_callers(node: Arc<Node>, listener: TcpListener) {
    let callers = node.settings.callers;
    let rules = server::Rules {
        connections_max: callers.connections_max,
        head_timeout: callers.head_timeout,
    };
    let ended = server::serve(listener, rules, Arc::clone(&node.traffic), node).await;
    invariant!(ended.is_ok(), "the callers' listener failed: {ended:?}");
}

async fn watch_config(node: Arc<Node>) {
    let prefix = &node.settings.store.prefix;
    config::watch(&node.holder, &*node.store, prefix, WATCH_WAIT).await;
}

async fn watch_members(node: Arc<Node>) {
    let prefix = &node.settings.store.prefix;
    membership::watch_members(&node.membership, &*node.store, prefix, WATCH_WAIT).await;
}

async fn watch_list(node: Arc<Node>) {
    let list = &node.settings.store.list;
    membership::watch_list(&node.membership, &*node.store, list, WATCH_WAIT).await;
}

async fn keep_lease(node: Arc<Node>) {
    let prefix = &node.settings.store.prefix;
    membership::keep_lease(&node.membership, &*node.store, prefix, node.settings.lease).await;
}

async fn serve_peers(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(DRAIN_STEP.duration()).await;
            continue;
        };
        let node = Arc::clone(&node);
        runtime::spawn(async move {
            let handler = Arc::clone(&node) as Arc<dyn Handler>;
            if let Err(why) = node.links.serve(stream, &handler).await {
                event!(debug, "link-closed", reason = why);
            }
        })
        .detach();
    }
}

/// Waits for the signal to stop, then for all that is in flight, and leaves a closing record.
async fn stop(node: &Node, mut signals: Signals) {
    signals.next().await;
    let begun = node.now();
    event!(info, "drain-begin", unfinished = node.unfinished());
    node.drain();
    let left = || (begun + node.settings.drain - node.now()).max(CLOSE_MIN);
    within(left(), finish(node)).await;
    event!(info, "drain-end", unfinished = node.unfinished());
    within(left(), close(node)).await;
}

async fn finish(node: &Node) {
    while node.unfinished() > 0 {
        Timer::after(DRAIN_STEP.duration()).await;
    }
}

/// Tells the other VMs, by the store, what became of all keys.
async fn close(node: &Node) {
    let (store, prefix) = (&*node.store, node.settings.store.prefix.as_str());
    closed::write(store, prefix, node.incarnation, &node.closing()).await;
    if let Err(error) = membership::leave(&node.membership, store, prefix).await {
        event!(warn, "leave-failed", reason = error);
    }
}

async fn within(limit: Millis, work: impl Future<Output = ()>) {
    let late = async {
        Timer::after(limit.duration()).await;
    };
    work.or(late).await;
}

/// A document with one service and echo targets in this process.
async fn dev_document(domain: &str, targets: usize) -> Result<Document, Error> {
    let mut document = Document::default();
    for number in 0..targets.max(1) {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        document.targets.push(Target {
            id: format!("echo-{number}"),
            domain: domain.to_owned(),
            rack: String::new(),
            address: listener.local_addr()?,
            slots: 8,
            connections: 60,
            leaving: false,
        });
        let rules = server::Rules { connections_max: 60, head_timeout: Millis::from_secs(60) };
        let echo = Arc::new(Echo { clock: Clock::start() });
        runtime::spawn(server::serve(listener, rules, Arc::default(), echo)).detach();
    }
    document.services.push(Service {
        name: "echo".to_owned(),
        targets: Vec::new(),
        timeout: Millis::from_secs(10),
        run_max: Millis::from_secs(10),
        spare_share: 0.0,
    });
    Ok(document)
}

/// A target that answers with what it is sent.
#[derive(Debug)]
struct Echo {
    clock: Clock,
}

impl server::Handler for Echo {
    fn answer(
        self: Arc<Self>,
        mut request: Request,
    ) -> std::pin::Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            let mut response = Response::new(StatusCode::Ok);
            let body = request.body_string().await.unwrap_or_default();
            if let Some(id) = request.header("Task-Id") {
                response.insert_header("Task-Id", id.last().as_str());
            }
            event!(trace, "echo", at = self.clock.now());
            response.set_body(body);
            response
        })
    }

    fn body_max(&self) -> u64 {
        4 << 20
    }
}
