//! The adapter for the users' platform. Nothing outside this folder knows the platform's names and formats;
//! what comes in is decoded here, once, into the product's own types.

mod configuration;
mod front;
mod kv;
mod request;
mod settings;
mod worker;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::event;
use crate::http::server::Handler;
use crate::route::Table;
use crate::store::Entry;
use crate::vm::{self, Adapter, Fronts, Node, Runner, Site};

use front::{Callers, Metrics, Ready};
use kv::Kv;
pub use settings::{Fault, Settings};

/// Why a VM could not run on the platform.
#[derive(Debug)]
pub enum Error {
    /// The settings file can't be used.
    Settings(Vec<Fault>),
    /// The VM could not start.
    Start(vm::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(faults) => write!(f, "{}", joined(faults)),
            Self::Start(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for Error {}

fn joined(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Runs an entry VM on the platform until it is stopped, with the settings file that the platform names.
pub fn run() -> Result<(), Error> {
    let settings = Settings::load().map_err(Error::Settings)?;
    let store = Arc::new(Kv::new(settings.platform.addr));
    let adapter = Arc::new(Platform);
    let vm = settings.vm();
    vm::run(vm, store, adapter, &Listeners { settings }).map_err(Error::Start)
}

/// Reads what the platform keeps in its store, and reaches its workers.
#[derive(Debug)]
struct Platform;

impl Adapter for Platform {
    fn routes_key(&self) -> &'static str {
        "op/config"
    }

    fn targets_prefix(&self) -> &'static str {
        "servers/"
    }

    fn routes(&self, text: &[u8]) -> Result<Table, String> {
        configuration::decode(text).map_err(|error| error.to_string())
    }

    fn target(&self, entry: &Entry) -> Option<Site> {
        match worker::decode(entry) {
            Ok(site) => Some(site),
            Err(reason) => {
                event!(
                    warn,
                    "target-unreadable",
                    key = entry.key,
                    index = entry.index,
                    reason = reason
                );
                None
            }
        }
    }

    fn settings(&self) -> Result<vm::Settings, String> {
        Settings::load().map(|settings| settings.vm()).map_err(|faults| joined(&faults))
    }

    fn runner(&self, site: &Site) -> Arc<dyn Runner> {
        Arc::new(worker::Client::new(site))
    }
}

/// The HTTP servers: callers', the platform's question whether this VM is ready, and metrics.
#[derive(Debug)]
struct Listeners {
    settings: Settings,
}

impl Fronts for Listeners {
    fn servers(&self, node: &Arc<Node>) -> Vec<(SocketAddr, Arc<dyn Handler>)> {
        let listen = &self.settings.listen;
        let node = || Arc::clone(node);
        vec![
            (listen.ready, Arc::new(Ready { node: node() })),
            (self.settings.metrics(), Arc::new(Metrics { node: node() })),
            (listen.front, Arc::new(Callers { node: node() })),
        ]
    }
}
