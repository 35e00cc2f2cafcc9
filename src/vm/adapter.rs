//! The interface between a VM and its platform.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use crate::route::Table;
use crate::schedule::{Action, Listing, Reply};
use crate::store::Entry;

use super::settings::Settings;

/// A call to a target in flight.
pub type CallFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Decodes the platform's entries in the store, and connects to its targets.
pub trait Adapter: fmt::Debug + Send + Sync {
    /// The prefix of the keys that the operator writes in the store.
    fn operator_prefix(&self) -> &str;

    /// The key of the configuration in the store.
    fn routes_key(&self) -> &str;

    /// The failure domain whose evacuation an operator's key requests; `None` for other keys.
    fn evacuated_domain<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// The prefix of the keys that list targets in the store.
    fn targets_prefix(&self) -> &str;

    /// Decodes a configuration. The error says what is wrong with it.
    fn decode_routes(&self, text: &[u8]) -> Result<Table, String>;

    /// Decodes one target's entry. An entry that names no usable target is logged and gives `None`.
    fn decode_target(&self, entry: &Entry) -> Option<Site>;

    /// Reads the settings file again. The error says what is wrong with it.
    fn load_settings(&self) -> Result<Settings, String>;

    /// Creates a client of a target.
    fn client(&self, site: &Site) -> Arc<dyn Client>;
}

/// A target and its address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Site {
    /// The target as it describes itself.
    pub listing: Listing,
    /// The address at which the target takes calls.
    pub address: SocketAddr,
}

/// A client of one target.
pub trait Client: fmt::Debug + Send + Sync {
    /// Makes the call that an action asks for: a start, a stop or a poll.
    fn call(self: Arc<Self>, action: Action) -> CallFuture;

    /// The number of connections opened so far.
    fn opened(&self) -> u64;
}
