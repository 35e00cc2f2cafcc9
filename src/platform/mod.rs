//! The adapter for the users' platform. The platform's names and formats are known in this module only: it
//! decodes all input into the types of the other modules.

mod configuration;
mod front;
mod kv;
mod request;
pub mod review;
mod settings;
mod worker;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::event;
use crate::http::server::Handler;
use crate::route::Table;
use crate::store::Entry;
use crate::vm::{self, Adapter, Client, Endpoints, Node, Site};

use front::{Callers, Metrics, Readiness};
pub use kv::{Kv, TIMEOUT as STORE_TIMEOUT};
pub use request::{Error as JobError, decode as decode_job};
pub use settings::{Fault, Settings};

/// An error that keeps a VM from running on the platform.
#[derive(Debug)]
pub enum Error {
    /// The settings file is missing or invalid; holds every fault in it.
    Settings(Vec<Fault>),
    /// The VM could not start.
    Start(vm::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(faults) => write!(f, "{}", join(faults)),
            Self::Start(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for Error {}

fn join(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Runs an entry VM on the platform until a signal stops it.
///
/// The environment variable `GYPSUMKEEL_SETTINGS` names the settings file.
pub fn run() -> Result<(), Error> {
    let settings = Settings::load().map_err(Error::Settings)?;
    let store = Arc::new(Kv::new(settings.platform.address));
    let adapter = Arc::new(Platform);
    let vm = settings.vm();
    vm::run(vm, store, adapter, &Listeners { settings }).map_err(Error::Start)
}

/// Decodes the platform's entries in the store, and connects to its workers.
#[derive(Debug)]
pub struct Platform;

impl Adapter for Platform {
    fn operator_prefix(&self) -> &'static str {
        "op/"
    }

    fn routes_key(&self) -> &'static str {
        "op/config"
    }

    fn evacuated_domain<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix("op/evacuate/").filter(|domain| !domain.is_empty())
    }

    fn targets_prefix(&self) -> &'static str {
        worker::PREFIX
    }

    fn decode_routes(&self, text: &[u8]) -> Result<Table, String> {
        configuration::decode(text).map_err(|error| error.to_string())
    }

    fn decode_target(&self, entry: &Entry) -> Option<Site> {
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

    fn load_settings(&self) -> Result<vm::Settings, String> {
        Settings::load().map(|settings| settings.vm()).map_err(|faults| join(&faults))
    }

    fn client(&self, site: &Site) -> Arc<dyn Client> {
        Arc::new(worker::Client::new(site))
    }
}

/// The HTTP endpoints and the addresses that they listen on.
#[derive(Debug)]
struct Listeners {
    settings: Settings,
}

impl Endpoints for Listeners {
    fn servers(&self, node: &Arc<Node>) -> Vec<(SocketAddr, Arc<dyn Handler>)> {
        let listen = &self.settings.listen;
        let node = || Arc::clone(node);
        vec![
            (listen.ready, Arc::new(Readiness { node: node() })),
            (self.settings.metrics(), Arc::new(Metrics { node: node() })),
            (listen.callers, Arc::new(Callers { node: node() })),
        ]
    }
}
