//! Metrics: reports to StatsD, counting by many threads, quantiles, and their documentation.

mod testenv;

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::metrics::{Counter, Gauge, Histogram, Metrics, Reporter, Summary, Timer};
use serde_json::json;
use testenv::store::Store;
use testenv::{Place, Vm};

/// How long a test waits for a datagram.
const DATAGRAM_TIMEOUT: Duration = Duration::from_secs(10);

/// A StatsD server.
struct Server(UdpSocket);

impl Server {
    fn start() -> (Self, SocketAddr) {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a UDP port is free");
        socket.set_read_timeout(Some(DATAGRAM_TIMEOUT)).expect("the timeout can be set");
        let address = socket.local_addr().expect("the socket is bound");
        (Self(socket), address)
    }

    /// Receives lines until one contains `last`, and returns them.
    fn lines(&self, last: &str) -> Vec<String> {
        let mut text = String::new();
        let mut datagram = [0; 2048];
        while !text.contains(last) {
            let length = self.0.recv(&mut datagram).expect("a datagram arrives");
            text += std::str::from_utf8(&datagram[..length]).expect("datagrams are text");
            text += "\n";
        }
        text.lines().map(str::to_owned).collect()
    }
}

#[test]
fn values_are_sent_under_the_name_of_the_vm() {
    let (server, address) = Server::start();
    let metrics = Arc::new(Metrics::default());
    metrics.set(Gauge::JobsRunning, 7);
    metrics.time(Timer::TaskTime, Millis(5));
    let counting = [(); 4].map(|()| {
        let metrics = Arc::clone(&metrics);
        thread::spawn(move || (0..1000).for_each(|_| metrics.count(Counter::TasksStarted)))
    });
    for thread in counting {
        thread.join().expect("the thread counts to its end");
    }
    let reporter = Reporter::start(metrics, address, "lantern.a", |metrics| {
        metrics.raise(Counter::StoreReads, 3);
    });
    let reporter = reporter.expect("the reporter starts");
    reporter.close();
    let sent = server.lines("tasks.time.max");
    for line in [
        "gypsumkeel.lantern_a.tasks.started:4000|c",
        "gypsumkeel.lantern_a.store.reads:3|c",
        "gypsumkeel.lantern_a.jobs.running:7|g",
        "gypsumkeel.lantern_a.tasks.time.p50:5|g",
    ] {
        assert!(sent.iter().any(|sent| sent == line), "{line} is not in {sent:#?}");
    }
}

#[test]
fn a_vm_reports_its_metrics() {
    let (server, statsd) = Server::start();
    let store = Store::start();
    let settings = json!({
        "vm": "a-1", "domain": "a", "region": "south",
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0" },
        "store": { "url": store.url() },
        "metrics": { "statsd": statsd },
    });
    let place = Place { name: "metrics-a-1".to_owned(), domain: "a".to_owned(), settings };
    let vm = Vm::start(Path::new(env!("CARGO_TARGET_TMPDIR")), &place);
    let mut sent = server.lines("store.watches:");
    sent.extend(server.lines("tasks.time.max"));
    for name in ["jobs.running:0|g", "config.version:0|g", "draining:0|g"] {
        let name = format!("gypsumkeel.a-1.{name}");
        assert!(sent.iter().any(|line| line.starts_with(&name)), "{name} is not in {sent:#?}");
    }
    vm.stop();
    assert!(vm.wait().success(), "{}", vm.log());
    store.close();
}

#[test]
fn quantiles_have_two_significant_digits() {
    let histogram = Histogram::new();
    assert_eq!(histogram.take(), Summary::default());
    (1..=1000).for_each(|time| histogram.add(Millis(time)));
    let summary = histogram.take();
    assert_eq!(summary.count, 1000);
    for (measured, exact) in [(summary.p50, 500), (summary.p99, 990), (summary.max, 1000)] {
        assert!((exact..=exact + exact / 100).contains(&measured.0), "{measured} for {exact}");
    }
    histogram.add(Millis(u64::MAX));
    assert_eq!(histogram.take().count, 1);
}

#[test]
fn every_metric_is_documented() {
    let page = include_str!("../docs/METRICS.md");
    let counters = Counter::ALL.iter().map(|counter| counter.name());
    let gauges = Gauge::ALL.iter().map(|gauge| gauge.name());
    let timers = Timer::ALL.iter().map(|timer| timer.name());
    for name in counters.chain(gauges).chain(timers) {
        assert!(page.contains(&format!("| `{name}` |")), "{name} is not in docs/METRICS.md");
    }
}
