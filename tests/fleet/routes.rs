//! The operator: writes configurations, and checks at each VM that they are in force in time and stay so.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use gypsumkeel::http::{Connection, Request};
use gypsumkeel::runtime;
use serde_json::{Value, json};
use smol::Timer;

use super::Fleet;

/// The time within which a configuration must be in force.
const APPLY: Duration = Duration::from_secs(3);

/// The time for which a VM and the store must have been undisturbed for that bound to hold.
const STABLE: Duration = Duration::from_secs(4);

/// The time after which a VM that shows a version must not show an older one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// How long after a write its effect is looked for.
const CHECKED_MAX: Duration = Duration::from_secs(10);

/// The pause between two checks of a VM.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// The routes that are always there beside the queue's.
const IDLE_ROUTES: usize = 40;

/// The configurations written so far, and the violations of their bounds.
#[derive(Debug, Default)]
pub struct Routes {
    written: Mutex<Written>,
    /// The newest version that each life of a VM has shown, and when.
    shown: Mutex<BTreeMap<(usize, u64), (u64, Instant)>>,
    pub violations: Mutex<Vec<String>>,
    pub checks: Mutex<u64>,
}

#[derive(Debug, Default)]
struct Written {
    version: u64,
    /// The added routes, by the version that added each.
    added: BTreeMap<u64, String>,
    dropped: BTreeSet<String>,
    /// How many routes there are beside those.
    extra: usize,
}

/// Writes a configuration that adds a route and drops an old one, and checks all VMs later. If `is_big`, it also adds many
/// routes, or drops them.
pub fn change(fleet: &Arc<Fleet>, is_big: bool) {
    let (version, added, dropped, text) = {
        let mut written = fleet.routes.written.lock().unwrap();
        written.version += 1 + fastrand::u64(..4);
        if is_big {
            written.extra = if written.extra == 0 { fleet.options.big } else { 0 };
        }
        let (version, added) = (written.version, format!("/added{}/", written.version));
        let oldest = written.added.pop_first().filter(|_| written.added.len() >= 3);
        let dropped = oldest.map(|(_, route)| route);
        written.added.insert(version, added.clone());
        written.dropped.extend(dropped.clone());
        (version, added, dropped, written.document())
    };
    fleet.store.put("op/config", &text);
    let acknowledged_at = Instant::now();
    let fleet = Arc::clone(fleet);
    runtime::spawn(async move {
        Timer::after(APPLY + Duration::from_millis(30)).await;
        for vm in 0..fleet.vms.len() {
            let change = Change { version, added: added.clone(), dropped: dropped.clone() };
            runtime::spawn(check_until_applied(Arc::clone(&fleet), vm, change, acknowledged_at))
                .detach();
        }
    })
    .detach();
}

impl Written {
    fn document(&self) -> Value {
        let route = |name: &str, prefix: &str, priority: u32| {
            json!({ "name": name, "host": super::HOST, "prefix": prefix, "kind": "unsafe",
                "timeoutMs": 5000, "sloMs": 500, "priority": priority, "service": "desk", "attempts": 3,
                "stretch": 1.6 })
        };
        let kinds = super::KINDS.iter();
        let kinds = kinds.map(|kind| route(kind.name, &format!("/{}/", kind.name), kind.priority));
        let mut routes = kinds.collect::<Vec<_>>();
        let added = self.added.values();
        routes.extend(added.map(|prefix| route(prefix.trim_matches('/'), prefix, 0)));
        let extra = (0..IDLE_ROUTES + self.extra).map(|index| format!("idle{index}"));
        routes.extend(extra.map(|name| route(&name, &format!("/{name}/"), 0)));
        json!({ "version": self.version, "routes": routes,
            "services": [{ "name": "desk", "healthPath": "/healthz", "maxConns": 64,
                "protocol": "h1", "tls": false, "rejectsOverload": false, "spare": false }],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 262_144,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000 } })
    }
}

/// A version of the configuration, the route that it added and the one that it dropped.
#[derive(Clone, Debug)]
struct Change {
    version: u64,
    added: String,
    dropped: Option<String>,
}

impl Routes {
    /// Whether the newest configuration has a route.
    fn has(&self, route: &str) -> bool {
        self.written.lock().unwrap().added.values().any(|known| known == route)
    }

    fn report(&self, fault: &str) {
        let line = format!("CONFIG {} {fault}", super::time());
        eprintln!("{line}");
        self.violations.lock().unwrap().push(line);
    }
}

/// Checks a VM until it shows a version or has broken the bound: a VM that was disturbed shortly before may be late, but
/// not for long.
async fn check_until_applied(
    fleet: Arc<Fleet>,
    vm: usize,
    change: Change,
    acknowledged_at: Instant,
) {
    while acknowledged_at.elapsed() < CHECKED_MAX
        && !check(&fleet, vm, &change, acknowledged_at).await
    {
        Timer::after(CHECK_PAUSE).await;
    }
}

/// Checks that a VM serves the route that a version added, and not the one that it dropped. Returns whether nothing is left
/// to check.
async fn check(fleet: &Fleet, vm: usize, change: &Change, acknowledged_at: Instant) -> bool {
    let routes = &fleet.routes;
    let (name, life) = (&fleet.vms[vm].name, fleet.vms[vm].life());
    let sent_at = Instant::now();
    let was_there = routes.has(&change.added);
    let is_calm = fleet.vms[vm].is_calm(STABLE) && fleet.store_is_calm(STABLE);
    let Some(status) = get(fleet, vm, &change.added).await else { return false };
    *routes.checks.lock().unwrap() += 1;
    let is_there = was_there && routes.has(&change.added);
    let is_calm = is_calm && fleet.vms[vm].is_calm(STABLE) && life == fleet.vms[vm].life();
    let (version, age) = (change.version, sent_at - acknowledged_at);
    if status == 200 {
        let mut shown = routes.shown.lock().unwrap();
        let newest = shown.entry((vm, life)).or_insert((version, Instant::now()));
        if newest.0 < version {
            *newest = (version, Instant::now());
        }
    }
    if status == 404 && is_there {
        let shown = routes.shown.lock().unwrap().get(&(vm, life)).copied();
        if shown.is_some_and(|(v, at)| v >= version && at + ROLLBACK_SLACK < sent_at) {
            routes.report(&format!("{name} went back behind {shown:?} at {version}"));
        } else if is_calm {
            routes.report(&format!("{name} has no {} {age:?} after the write", change.added));
        }
    }
    let Some(dropped) = &change.dropped else {
        return status == 200 || is_calm || !is_there;
    };
    let shown = get(fleet, vm, dropped).await;
    if shown == Some(200) && is_calm {
        routes.report(&format!("{name} still has {dropped} {age:?} after version {version}"));
    }
    is_calm || !is_there || status == 200 && shown == Some(404)
}

async fn get(fleet: &Fleet, vm: usize, path: &str) -> Option<u16> {
    let address = SocketAddr::new(fleet.vms[vm].ip, 8161);
    let mut connection = Connection::open(address, Millis(1500)).await.ok()?;
    let headers = [("Host", super::HOST)];
    let request = Request { headers: &headers, ..Request::get(path, Millis(1500)) };
    Some(connection.send(&request).await.ok()?.status)
}
