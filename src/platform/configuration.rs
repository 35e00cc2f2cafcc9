//! The operator's configuration as the platform stores it.

use std::sync::Arc;

use serde::Deserialize;

use crate::batch::Terms;
use crate::clock::Millis;
use crate::contain;
use crate::route::{Route, Table};

/// The stretch factor of a queue whose entry has none.
const DEFAULT_STRETCH: f64 = 1.0;

/// The whole configuration.
#[derive(Debug, Deserialize)]
pub(super) struct Document {
    pub version: u64,
    #[serde(default)]
    pub routes: Vec<Entry>,
    #[serde(default)]
    pub services: Vec<Service>,
    #[serde(default)]
    pub limits: Limits,
}

/// A service whose workers run the jobs of queues.
#[derive(Debug, Deserialize)]
pub(super) struct Service {
    #[serde(default)]
    pub name: String,
}

/// One route. Each route names a queue.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Entry {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub service: String,
    #[serde(default)]
    pub timeout_ms: Millis,
    /// The time that a job may take in addition to its stretched critical path. The name suggests the
    /// objective for the whole job.
    #[serde(default)]
    pub slo_ms: Millis,
    #[serde(default)]
    pub priority: u32,
    #[serde(default = "one")]
    pub attempts: u32,
    pub stretch: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Limits {
    pub max_body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_body_bytes: 256 << 10 }
    }
}

const fn one() -> u32 {
    1
}

/// Decodes a configuration from JSON.
pub fn decode(text: &[u8]) -> Result<Table, serde_json::Error> {
    let document = contain::json::<Document>(text)?;
    let routes = document.routes.into_iter().map(Route::from);
    Ok(Table::new(document.version, document.limits.max_body_bytes, routes))
}

impl From<Entry> for Route {
    fn from(entry: Entry) -> Self {
        Self {
            name: Arc::from(entry.name),
            host: entry.host,
            prefix: entry.prefix,
            service: Arc::from(entry.service),
            terms: Terms {
                priority: entry.priority,
                attempts: entry.attempts.max(1),
                stretch: entry.stretch.unwrap_or(DEFAULT_STRETCH),
                allowance: entry.slo_ms,
            },
            timeout: entry.timeout_ms,
        }
    }
}
