//! Starts a VM.

use std::fmt;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::sync::Arc;

use smol::net::TcpListener;

use crate::config::{self, Holder};
use crate::http::server;
use crate::invariant;
use crate::job::Incarnation;
use crate::membership::{self, Membership, Registration};
use crate::ownership::Quota;
use crate::peer::{Handler, Links, Rules};
use crate::runtime;
use crate::settings::Settings;
use crate::store::{Consul, Store, WATCH_WAIT};
use crate::wire::{Hello, VERSION};

use super::meter;
use super::node::Node;
use super::stop;

/// Why a VM could not start.
#[derive(Debug)]
pub enum Error {
    /// Listening on an address failed.
    Listen(SocketAddr, io::Error),
    /// The system did not provide a thread, a signal handler or another resource.
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
                write!(
                    f,
                    "the system did not provide a thread, signal handler or socket: {error}; raise its limits"
                )
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

/// Runs a VM with a Consul store until it is stopped.
pub fn run(settings: Settings) -> Result<(), Error> {
    invariant::exit_on_panic();
    runtime::start(settings.threads)?;
    smol::block_on(async {
        let store = Arc::new(Consul::new(settings.store.address, settings.store.timeout));
        let signals = stop::signals()?;
        let node = start(settings, store, Holder::default()).await?;
        let reporter = meter::start(&node)?;
        stop::run(&node, signals).await;
        if let Some(reporter) = reporter {
            reporter.close();
        }
        Ok(())
    })
}

/// Starts all background tasks of a VM.
pub(super) async fn start(
    settings: Settings,
    store: Arc<dyn Store>,
    holder: Holder,
) -> Result<Arc<Node>, Error> {
    let callers = listen(settings.listen.callers).await?;
    let peers = listen(settings.listen.peers).await?;
    let incarnation = Incarnation::random();
    let peer_address = settings.advertise.peers.unwrap_or(peers.local_addr()?);
    let hello = Hello {
        version: VERSION,
        vm: settings.vm.clone(),
        incarnation,
        domain: settings.domain.clone(),
        peer_address,
        cpu: 0,
        quota: Quota::default(),
    };
    let membership = Membership::new(Registration {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        incarnation,
        caller_address: settings.advertise.callers.unwrap_or(callers.local_addr()?),
        peer_address,
        draining: false,
        cpu: 0,
        quota: Quota::default(),
    });
    let heartbeat = settings.heartbeat;
    let rules = Rules { interval: heartbeat.every, timeout: heartbeat.patience };
    let links = Arc::new(Links::new(hello, rules));
    let node =
        Arc::new(Node::new(settings, incarnation, links, store, Arc::new(holder), membership));
    node.configure(&node.document());
    print_addresses(&callers, &peers)?;
    runtime::spawn(Arc::clone(&node).tick()).detach();
    runtime::spawn(Arc::clone(&node).follow_config()).detach();
    runtime::spawn(Arc::clone(&node).follow_view()).detach();
    runtime::spawn(watch_config(Arc::clone(&node))).detach();
    runtime::spawn(watch_members(Arc::clone(&node))).detach();
    runtime::spawn(watch_targets(Arc::clone(&node))).detach();
    runtime::spawn(keep_lease(Arc::clone(&node))).detach();
    let handler = Arc::clone(&node) as Arc<dyn Handler>;
    runtime::spawn(Arc::clone(&node.links).listen(peers, Arc::clone(&handler))).detach();
    runtime::spawn(serve_callers(Arc::clone(&node), callers)).detach();
    for &address in &node.settings.peers {
        node.links.connect(address, &handler);
    }
    node.refresh_members();
    Ok(node)
}

/// Listens on a TCP address.
pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Prints the addresses that the VM listens on to standard output, in one line.
fn print_addresses(callers: &TcpListener, peers: &TcpListener) -> io::Result<()> {
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
    server::serve(listener, rules, Arc::clone(&node.traffic), node).await;
}

async fn watch_config(node: Arc<Node>) {
    let prefix = &node.settings.store.prefix;
    config::watch(&node.holder, &*node.store, prefix, WATCH_WAIT).await;
}

async fn watch_members(node: Arc<Node>) {
    let prefix = &node.settings.store.prefix;
    membership::watch_members(&node.membership, &*node.store, prefix, WATCH_WAIT).await;
}

async fn watch_targets(node: Arc<Node>) {
    let list = &node.settings.store.list;
    membership::watch_targets(&node.membership, &*node.store, list, WATCH_WAIT).await;
}

async fn keep_lease(node: Arc<Node>) {
    let prefix = &node.settings.store.prefix;
    membership::keep_lease(&node.membership, &*node.store, prefix, node.settings.lease).await;
}
