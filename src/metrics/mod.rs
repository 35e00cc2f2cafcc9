//! Metrics: updated as atomics on the path of a request, and sent to StatsD once a second.

mod histogram;
mod names;

use std::fmt::Write as _;
use std::io;
use std::mem;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};

use cadence::{BufferedUdpMetricSink, Counted as _, Gauged as _, StatsdClient};

pub use self::histogram::{Histogram, Summary};
pub use self::names::{Counter, Gauge, Timer};
use crate::clock::Millis;

/// The interval between reports to StatsD.
const REPORT_INTERVAL: Millis = Millis::from_secs(1);

/// All metrics of a process. Updating a counter or a gauge costs one atomic operation.
#[derive(Debug)]
pub struct Metrics {
    counters: [AtomicU64; Counter::ALL.len()],
    gauges: [AtomicU64; Gauge::ALL.len()],
    timers: [Histogram; Timer::ALL.len()],
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            counters: [const { AtomicU64::new(0) }; Counter::ALL.len()],
            gauges: [const { AtomicU64::new(0) }; Gauge::ALL.len()],
            timers: std::array::from_fn(|_| Histogram::new()),
        }
    }
}

impl Metrics {
    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Counts `events` events.
    pub fn add(&self, counter: Counter, events: u64) {
        self.counters[counter as usize].fetch_add(events, Ordering::Relaxed);
    }

    /// Raises a counter to `total`, a count that is kept elsewhere. A lower total changes nothing.
    pub fn raise(&self, counter: Counter, total: u64) {
        self.counters[counter as usize].fetch_max(total, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, level: u64) {
        self.gauges[gauge as usize].store(level, Ordering::Relaxed);
    }

    /// Adds a time to a timer.
    pub fn time(&self, timer: Timer, time: Millis) {
        self.timers[timer as usize].add(time);
    }

    /// Returns the number of events since the start.
    pub fn total(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Formats all metrics as text, one a line: its name, a space, its value. Times are in milliseconds and cover
    /// the period since the last reading, which resets them.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for &counter in Counter::ALL {
            let _ = writeln!(text, "{} {}", counter.name(), self.total(counter));
        }
        for &gauge in Gauge::ALL {
            let _ = writeln!(text, "{} {}", gauge.name(), self.level(gauge));
        }
        for &timer in Timer::ALL {
            let Summary { count, p50, p99, max } = self.timers[timer as usize].take();
            let name = timer.name();
            let _ = writeln!(text, "{name}.count {count}");
            let _ = writeln!(text, "{name}.p50 {}", p50.0);
            let _ = writeln!(text, "{name}.p99 {}", p99.0);
            let _ = writeln!(text, "{name}.max {}", max.0);
        }
        text
    }

    /// Returns the value that a gauge was last set to.
    pub fn level(&self, gauge: Gauge) -> u64 {
        self.gauges[gauge as usize].load(Ordering::Relaxed)
    }
}

/// The thread that sends metrics once a second.
#[derive(Debug)]
pub struct Reporter {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl Reporter {
    /// Starts to send `metrics` to `statsd` under names that start with `gypsumkeel.<vm>`. Before each report
    /// `refresh` is called to update the metrics that are counted elsewhere.
    pub fn start(
        metrics: Arc<Metrics>,
        statsd: SocketAddr,
        vm: &str,
        refresh: impl Fn(&Metrics) + Send + 'static,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(statsd, socket).map_err(io::Error::other)?;
        let client = StatsdClient::from_sink(&format!("gypsumkeel.{}", vm.replace('.', "_")), sink);
        let (stop, stopped) = mpsc::channel();
        let run = move || {
            let mut sent = [0; Counter::ALL.len()];
            let mut running = true;
            while running {
                let received = stopped.recv_timeout(REPORT_INTERVAL.duration());
                running = received == Err(RecvTimeoutError::Timeout);
                refresh(&metrics);
                send(&metrics, &client, &mut sent);
            }
        };
        let thread = thread::Builder::new().name("metrics".to_owned()).spawn(run)?;
        Ok(Self { stop, thread })
    }

    /// Sends a last report and stops the thread.
    pub fn close(self) {
        drop(self.stop);
        drop(self.thread.join());
    }
}

/// Sends the increase of each counter since the last report, all gauges, and the statistics of the timers. `sent`
/// holds the totals of the last report.
fn send(metrics: &Metrics, client: &StatsdClient, sent: &mut [u64; Counter::ALL.len()]) {
    for (counter, sent) in Counter::ALL.iter().zip(sent) {
        let total = metrics.total(*counter);
        // Errors are ignored: while the server is unreachable, only these values are lost.
        let new = total - mem::replace(sent, total);
        if new > 0 {
            drop(client.count(counter.name(), new));
        }
    }
    for gauge in Gauge::ALL {
        drop(client.gauge(gauge.name(), metrics.level(*gauge)));
    }
    for timer in Timer::ALL {
        let name = timer.name();
        let summary = metrics.timers[*timer as usize].take();
        drop(client.gauge(&format!("{name}.p50"), summary.p50.0));
        drop(client.gauge(&format!("{name}.p99"), summary.p99.0));
        drop(client.gauge(&format!("{name}.max"), summary.max.0));
    }
    drop(client.flush());
}
