//! Metrics reach StatsD, are summed without loss, and are all explained.

use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::metrics::{Counter, Gauge, Histogram, Metrics, Reporter, Summary, Timer};

/// How long a test waits for a datagram.
const PATIENCE: Duration = Duration::from_secs(10);

#[test]
fn values_are_sent_with_the_name_of_the_vm() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a UDP port is free");
    server.set_read_timeout(Some(PATIENCE)).expect("the timeout can be set");
    let address = server.local_addr().expect("the socket is bound");
    let metrics = Arc::new(Metrics::default());
    metrics.set(Gauge::JobsRunning, 7);
    metrics.time(Timer::StoreTime, Millis(5));
    let counting = [(); 4].map(|()| {
        let metrics = Arc::clone(&metrics);
        thread::spawn(move || (0..1000).for_each(|_| metrics.count(Counter::TasksStarted)))
    });
    for thread in counting {
        thread.join().expect("the thread counts to its end");
    }
    let reporter = Reporter::start(metrics, address, "lantern.a").expect("the reporter starts");
    reporter.close();
    let mut text = String::new();
    let mut datagram = [0; 2048];
    while !text.contains("store.time.max") {
        let length = server.recv(&mut datagram).expect("a datagram arrives");
        text += std::str::from_utf8(&datagram[..length]).expect("datagrams are text");
        text += "\n";
    }
    for line in [
        "gypsumkeel.lantern_a.tasks.started:4000|c",
        "gypsumkeel.lantern_a.jobs.running:7|g",
        "gypsumkeel.lantern_a.store.time.p50:5|g",
    ] {
        assert!(text.lines().any(|sent| sent == line), "{line} is not in\n{text}");
    }
}

#[test]
fn quantiles_are_exact_to_an_eighth() {
    let histogram = Histogram::new();
    assert_eq!(histogram.take(), Summary::default());
    (1..=1000).for_each(|time| histogram.add(Millis(time)));
    let summary = histogram.take();
    assert_eq!(summary.count, 1000);
    for (found, exact) in [(summary.p50, 500), (summary.p99, 990), (summary.max, 1000)] {
        assert!((exact..=exact + exact / 8).contains(&found.0), "{found} for {exact}");
    }
    histogram.add(Millis(u64::MAX));
    assert_eq!(histogram.take().count, 1);
}

#[test]
fn every_metric_is_explained() {
    let page = include_str!("../docs/METRICS.md");
    let counters = Counter::ALL.iter().map(|counter| counter.name());
    let gauges = Gauge::ALL.iter().map(|gauge| gauge.name());
    let timers = Timer::ALL.iter().map(|timer| timer.name());
    for name in counters.chain(gauges).chain(timers) {
        assert!(page.contains(&format!("| `{name}` |")), "{name} is not in docs/METRICS.md");
    }
}
