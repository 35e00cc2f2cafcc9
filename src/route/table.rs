//! Which queue a request belongs to, by its host and the longest prefix of its path.

use std::collections::HashMap;
use std::sync::Arc;

use crate::batch::Terms;
use crate::clock::Millis;

/// A queue that callers reach under a host and a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the queue.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// The service whose targets run its batches.
    pub service: Arc<str>,
    /// What it promises.
    pub terms: Terms,
    /// How long a request may take where its caller names no time.
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
    /// A table of `routes`.
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

    /// The route of a request, and what of its path comes after the prefix.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.by_host.get(host)?;
        routes.iter().find_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}
