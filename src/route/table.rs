//! Routes of requests to queues, by the host and the longest matching prefix of the path.

use std::collections::HashMap;
use std::sync::Arc;

use crate::batch::Terms;
use crate::clock::Millis;

/// A queue and the host and path prefix under which callers reach it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the queue.
    pub name: Arc<str>,
    /// The host of the request, without a port.
    pub host: String,
    /// The prefix of the request's path.
    pub prefix: String,
    /// The service whose targets run the queue's batches.
    pub service: Arc<str>,
    /// The terms of the queue.
    pub terms: Terms,
    /// The timeout of a request whose caller sets none.
    pub timeout: Millis,
}

/// The routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The version of the configuration.
    pub version: u64,
    /// The largest body of a request, in bytes.
    pub body_max: u64,
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl Table {
    /// Builds a table of `routes`.
    pub fn new(version: u64, body_max: u64, routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host = HashMap::<String, Vec<Arc<Route>>>::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, body_max, by_host }
    }

    /// The route of a request, with the rest of the path after the prefix. A port in `host` is ignored.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.by_host.get(host)?;
        routes.iter().find_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}
