//! A test environment: real VMs in failure domains, a fake store, fake targets, and proxies on every path between them.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::config::Name;
use gypsumkeel::config::operator::{self, Edit};
use serde_json::{Value, json};

use super::store::Store;
use super::{Block, Caller, Ledger, Place, Proxy, Target, Vm, free_host, until, wait_until};

/// The longest time until all VMs of an environment serve.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// The prefix of all keys in the store.
const PREFIX: &str = "gypsumkeel";

/// The parts and the configuration of an environment.
#[derive(Clone, Debug)]
pub struct Setup {
    pub domains: &'static [&'static str],
    /// VMs in each domain.
    pub vms: usize,
    /// Targets in each domain.
    pub targets: usize,
    /// Slots of each target.
    pub slots: usize,
    /// The section `limits` of the configuration.
    pub limits: Value,
    /// The section `services` of the configuration.
    pub services: Value,
    /// Settings of every VM that replace the defaults.
    pub settings: Value,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            domains: &["a", "b"],
            vms: 1,
            targets: 2,
            slots: 8,
            limits: json!({}),
            services: json!([{ "name": "holds", "timeout": "10s", "run_max": "5s" }]),
            settings: json!({}),
        }
    }
}

/// A running environment.
pub struct Env {
    pub store: Store,
    pub targets: Vec<Target>,
    pub ledger: Arc<Ledger>,
    /// The proxies in front of the targets, in the order of the targets.
    pub target_proxies: Vec<Proxy>,
    /// The proxies in front of the VMs' ports for peers, in the order of the VMs.
    pub peer_proxies: Vec<Proxy>,
    store_proxies: BTreeMap<&'static str, Proxy>,
    places: Vec<Place>,
    vms: Mutex<Vec<Arc<Vm>>>,
    directory: PathBuf,
}

impl Env {
    /// Starts all parts and waits until every VM accepts jobs.
    pub fn start(setup: &Setup) -> Self {
        let ledger = Arc::<Ledger>::default();
        let store = Store::start();
        let mut env = Self {
            targets: Vec::new(),
            target_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            store_proxies: BTreeMap::new(),
            places: Vec::new(),
            vms: Mutex::default(),
            directory: new_directory(),
            ledger,
            store,
        };
        let mut sections = Vec::new();
        for &domain in setup.domains {
            env.store_proxies.insert(domain, Proxy::start(Some(env.store.address())));
            for number in 1..=setup.targets {
                sections.push(env.add_target(&format!("t-{domain}-{number}"), domain, setup.slots));
            }
            for number in 1..=setup.vms {
                env.add_place(&format!("lantern-{domain}-{number}"), domain, &setup.settings);
            }
        }
        let names = env.targets.iter().map(|target| target.name.as_str()).collect::<Vec<_>>();
        env.store.set_targets(names);
        env.configure("targets", &Value::Array(sections));
        env.configure("services", &setup.services);
        env.configure("limits", &setup.limits);
        let peers = env.peer_proxies.iter().map(|proxy| proxy.address).collect::<Vec<_>>();
        for index in 0..env.places.len() {
            env.places[index].settings["peers"] = json!(peers);
            env.launch(index);
        }
        wait_until("every VM accepts jobs", READY_LIMIT, || {
            (0..env.places.len()).all(|index| smol::block_on(env.caller(index).is_ready()))
        });
        env
    }

    /// How many VMs there are.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// The VM at `index`; the VMs of a domain have consecutive indexes.
    pub fn vm(&self, index: usize) -> Arc<Vm> {
        Arc::clone(&self.vms.lock().unwrap()[index])
    }

    /// A caller of the VM at `index`.
    pub fn caller(&self, index: usize) -> Caller {
        self.vm(index).caller()
    }

    /// The proxy between a domain's VMs and the store.
    pub fn store_proxy(&self, domain: &str) -> &Proxy {
        &self.store_proxies[domain]
    }

    /// Partitions one domain from the others and from the store.
    pub fn partition(&self, domain: &str, block: Block) {
        let prefix = format!("lantern-{domain}-");
        for (index, proxy) in self.peer_proxies.iter().enumerate() {
            let prefix = prefix.clone();
            let leads_inside = self.places[index].domain == domain;
            proxy.block(block, move |first| {
                first.contains("lantern-") && first.contains(&prefix) != leads_inside
            });
        }
        self.store_proxies[domain].block(block, |_| true);
    }

    /// Ends the partition of a domain.
    pub fn reconnect(&self, domain: &str) {
        self.peer_proxies.iter().for_each(Proxy::heal);
        self.store_proxies[domain].heal();
    }

    /// Ends the faults of every proxy.
    pub fn heal(&self) {
        self.peer_proxies.iter().chain(&self.target_proxies).for_each(Proxy::heal);
        self.store_proxies.values().for_each(Proxy::heal);
    }

    /// Kills the process of the VM at `index` if it still runs, and starts a new one.
    pub fn replace(&self, index: usize) {
        self.vm(index).kill();
        self.launch(index);
    }

    /// Starts another VM whose only peers are the VMs at `contacts`, and that no VM has as a peer.
    pub fn start_stranger(&self, domain: &str, contacts: &[usize]) -> Vm {
        let sibling = self.places.iter().find(|place| place.domain == domain).unwrap();
        let mut place = sibling.clone();
        "lantern-stranger".clone_into(&mut place.name);
        place.settings["vm"] = json!(place.name);
        place.settings["advertise"] = json!({});
        let listen = SocketAddr::new(free_host(), 0);
        place.settings["listen"] = json!({ "callers": listen, "peers": listen });
        let contacts = contacts.iter().map(|&index| self.peer_proxies[index].address);
        place.settings["peers"] = json!(contacts.collect::<Vec<_>>());
        Vm::start(&self.directory, &place)
    }

    /// Requests a key prefix from the VM at `index`, and waits until every VM reaches that VM.
    pub async fn keys(&self, index: usize) -> String {
        let prefix = self.caller(index).keys().await.unwrap();
        for other in 0..self.len() {
            let caller = self.caller(other);
            let probe = format!("{prefix}.unused-{index}-{other}");
            until("every VM reaches the coordinator", READY_LIMIT, || async {
                caller.lookup(&probe).await.is_ok_and(|reply| reply.status == 404)
            })
            .await;
        }
        prefix
    }

    /// Replaces a section of the configuration, as an operator does.
    pub fn configure(&self, section: &str, value: &Value) {
        let location = operator::Location { store: &**self.store.memory(), prefix: PREFIX };
        let (name, text) = (section.parse::<Name>().unwrap(), value.to_string());
        smol::block_on(async {
            let before = operator::get(location, Some(&name)).await.map(|(_, sections)| sections);
            let base = before.unwrap().first().map_or(0, |section| section.reference.version);
            let text = Some(text.as_str());
            let edit = Edit { section: &name, base, text, who: "tests", why: "set up" };
            operator::apply(location, edit, Millis::from_secs(10)).await.unwrap();
        });
    }

    fn add_target(&mut self, name: &str, domain: &str, slots: usize) -> Value {
        let target = Target::start(name, slots, Arc::clone(&self.ledger));
        let proxy = Proxy::start(Some(target.address));
        let section =
            json!({ "id": name, "domain": domain, "address": proxy.address, "slots": slots });
        self.targets.push(target);
        self.target_proxies.push(proxy);
        section
    }

    fn add_place(&mut self, name: &str, domain: &'static str, overrides: &Value) {
        let proxy = Proxy::start(None);
        let listen = SocketAddr::new(free_host(), 0);
        let mut settings = json!({
            "vm": name,
            "domain": domain,
            "region": "south",
            "listen": { "callers": listen, "peers": listen },
            "advertise": { "peers": proxy.address },
            "store": {
                "url": format!("http://{}", self.store_proxies[domain].address),
                "timeout": "1s",
            },
            "peers": [],
            "threads": 2,
            "drain": "10s",
            "heartbeat": { "every": "100ms", "patience": "600ms" },
            "targets": { "prove_after": "200ms" },
            "log": { "level": "debug" },
        });
        for (name, value) in overrides.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        self.peer_proxies.push(proxy);
        self.places.push(Place { name: name.into(), domain: domain.into(), settings });
    }

    fn launch(&self, index: usize) {
        let vm = Arc::new(Vm::start(&self.directory, &self.places[index]));
        self.peer_proxies[index].set_upstream(vm.peers);
        let mut vms = self.vms.lock().unwrap();
        if index < vms.len() {
            vms[index] = vm;
        } else {
            vms.push(vm);
        }
    }
}

impl Drop for Env {
    fn drop(&mut self) {
        self.vms.lock().unwrap().clear();
        drop(fs::remove_dir_all(&self.directory));
    }
}

fn new_directory() -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("env-{}-{number}", std::process::id());
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).unwrap();
    directory
}
