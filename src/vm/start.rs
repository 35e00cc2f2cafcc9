//! Starts a VM and its background tasks.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use smol::net::TcpListener;

use crate::clock::Millis;
use crate::event;
use crate::http::server::{self, Traffic};
use crate::invariant;
use crate::job::Incarnation;
use crate::membership::{self, Membership, Registration};
use crate::peer::{Handler, Links};
use crate::runtime;
use crate::store::Store;
use crate::wire::{Hello, VERSION};

use super::adapter::Adapter;
use super::node::Node;
use super::settings::Settings;
use super::stop;

/// The time within which the head of a request must arrive. An idle connection is closed after it too.
const HEAD_TIMEOUT: Millis = Millis::from_secs(60);

/// An error that keeps a VM from running.
#[derive(Debug)]
pub enum Error {
    /// Listening on the address failed.
    Listen(SocketAddr, io::Error),
    /// The operating system refused a thread, a signal handler or another resource.
    System(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => {
                write!(f, "can't listen on {address}: {error}; choose a free address")
            }
            Self::System(error) => {
                write!(f, "the operating system refused a resource: {error}; raise its limits")
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

/// The HTTP endpoints that the platform expects of a VM.
pub trait Endpoints: fmt::Debug + Send + Sync {
    /// The addresses to listen on, each with its request handler.
    fn servers(&self, node: &Arc<Node>) -> Vec<(SocketAddr, Arc<dyn server::Handler>)>;
}

/// Runs a VM until a signal stops it.
pub fn run(
    settings: Settings,
    store: Arc<dyn Store>,
    adapter: Arc<dyn Adapter>,
    endpoints: &dyn Endpoints,
) -> Result<(), Error> {
    invariant::exit_on_panic();
    runtime::block_on(async {
        let signals = stop::signals()?;
        let node = start(settings, store, adapter, endpoints).await?;
        stop::run(&node, signals).await;
        Ok(())
    })
}

async fn start(
    settings: Settings,
    store: Arc<dyn Store>,
    adapter: Arc<dyn Adapter>,
    endpoints: &dyn Endpoints,
) -> Result<Arc<Node>, Error> {
    let incarnation = Incarnation::random();
    let peers = listen(settings.peers).await?;
    let hello = Hello {
        version: VERSION,
        vm: settings.vm.clone(),
        incarnation,
        domain: settings.domain.clone(),
        peer_address: settings.peers,
        cpu: settings.cpu,
        quota: settings.quota,
    };
    let membership = Membership::new(Registration {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        incarnation,
        caller_address: settings.callers,
        peer_address: settings.peers,
        draining: false,
        cpu: settings.cpu,
        quota: settings.quota,
    });
    let links = Arc::new(Links::new(hello, settings.heartbeat));
    let node = Arc::new(Node::new(settings, incarnation, links, store, adapter, membership));
    event!(
        info,
        "started",
        vm = node.settings.vm,
        domain = node.settings.domain,
        incarnation = incarnation
    );
    let handler = Arc::clone(&node) as Arc<dyn Handler>;
    runtime::spawn(Arc::clone(&node.links).listen(peers, Arc::clone(&handler))).detach();
    runtime::spawn(keep_lease(Arc::clone(&node))).detach();
    runtime::spawn(Arc::clone(&node).keep_round()).detach();
    runtime::spawn(Arc::clone(&node).follow_operator()).detach();
    runtime::spawn(Arc::clone(&node).fetch_routes()).detach();
    runtime::spawn(Arc::clone(&node).follow_targets()).detach();
    runtime::spawn(Arc::clone(&node).follow_members()).detach();
    runtime::spawn(Arc::clone(&node).follow_view()).detach();
    runtime::spawn(Arc::clone(&node).tick()).detach();
    runtime::spawn(Arc::clone(&node).announce_load()).detach();
    for &address in &node.settings.seeds {
        node.links.connect(address, &handler);
    }
    for (address, server) in endpoints.servers(&node) {
        let listener = listen(address).await?;
        let is_callers = address == node.settings.callers;
        let limits = node.settings.callers_max;
        let (traffic, connections_max) = if is_callers {
            (Arc::clone(&node.traffic), limits.connections)
        } else {
            let holdings = Arc::clone(node.traffic.holdings());
            (Arc::new(Traffic::new(holdings)), limits.other_connections)
        };
        let rules = server::Rules { connections_max, head_timeout: HEAD_TIMEOUT };
        runtime::spawn(server::serve(listener, rules, traffic, server)).detach();
    }
    Ok(node)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

async fn keep_lease(node: Arc<Node>) {
    let prefix = &node.settings.prefix;
    membership::keep_lease(&node.membership, &*node.store, prefix, node.settings.lease).await;
}
