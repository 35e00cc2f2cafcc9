//! What a VM needs of the platform.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use crate::route::Table;
use crate::schedule::{Action, Listing, Reply};
use crate::store::Entry;

use super::node::Settings;

/// A call to a target that is under way.
pub type Calling = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Reads what the platform keeps in the store, and reaches its targets.
pub trait Adapter: fmt::Debug + Send + Sync {
    /// The key of the configuration.
    fn routes_key(&self) -> &str;

    /// What the keys of targets start with.
    fn targets_prefix(&self) -> &str;

    /// Reads a configuration; the error says what is wrong with it.
    fn routes(&self, text: &[u8]) -> Result<Table, String>;

    /// Reads one target's entry; `None`, with a line in the log, if it names no target to use.
    fn target(&self, entry: &Entry) -> Option<Site>;

    /// Reads the settings again; the error says what is wrong with them.
    fn settings(&self) -> Result<Settings, String>;

    /// A client of a target.
    fn runner(&self, site: &Site) -> Arc<dyn Runner>;
}

/// A target and where it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Site {
    /// What it says of itself.
    pub listing: Listing,
    /// Its address.
    pub address: SocketAddr,
}

/// A client of one target.
pub trait Runner: fmt::Debug + Send + Sync {
    /// Makes the call that an action asks for: a start, a stop or a hold.
    fn call(self: Arc<Self>, action: Action) -> Calling;

    /// How many connections were opened so far.
    fn opened(&self) -> u64;
}
