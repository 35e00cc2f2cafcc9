//! Links between two VMs in one process, over a proxy: what late, lost and stuck frames mean.

mod testenv;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock, Mutex};
use std::time::{Duration, Instant};

use gypsumkeel::clock::Millis;
use gypsumkeel::job::Incarnation;
use gypsumkeel::ownership::Quota;
use gypsumkeel::peer::{Handler, Link, Links, Rules};
use gypsumkeel::runtime;
use gypsumkeel::wire::{Call, Frame, Hello, Notification, Reply, VERSION};
use smol::Timer;
use smol::net::TcpListener;
use testenv::{Proxy, free_host, until};

/// The timing of the links of entry VMs.
const RULES: Rules = Rules { interval: Millis(200), timeout: Millis(600) };

/// The time within which a condition must hold.
const LIMIT: Duration = Duration::from_secs(5);

/// The time between the check of a frame's age and the record that the test makes of it.
const RECORD_MAX: Duration = Duration::from_millis(100);

static THREADS: LazyLock<()> = LazyLock::new(|| runtime::start(2).expect("threads"));

/// Records when the notifications that it sent arrived at a VM.
#[derive(Debug, Default)]
struct Record {
    sent: Mutex<HashMap<u64, Instant>>,
    /// The time that each notification took.
    ages: Mutex<Vec<Duration>>,
    /// How many accepted links have ended.
    ended: AtomicUsize,
}

impl Handler for Record {
    fn call(
        self: Arc<Self>,
        _from: Incarnation,
        _call: Call,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(std::future::pending())
    }

    fn notify(self: Arc<Self>, _from: Incarnation, notification: Notification) {
        let Notification::Abandon { id } = notification else { return };
        let sent_at = self.sent.lock().unwrap()[&id];
        self.ages.lock().unwrap().push(sent_at.elapsed());
    }

    fn links_changed(self: Arc<Self>) {}

    fn link_up(self: Arc<Self>, _link: Arc<Link>) {}

    fn peer_disconnected(&self, _from: Incarnation) {
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    fn expects(&self, _address: SocketAddr) -> bool {
        true
    }
}

fn hello(peer_address: SocketAddr) -> Hello {
    Hello {
        version: VERSION,
        vm: peer_address.to_string(),
        incarnation: Incarnation::random(),
        domain: "a".to_owned(),
        peer_address,
        cpu: 250,
        quota: Quota::default(),
    }
}

/// Two VMs. The first has dialled the second through a proxy.
struct Pair {
    link: Arc<Link>,
    proxy: Proxy,
    record: Arc<Record>,
}

impl Pair {
    async fn start() -> Self {
        LazyLock::force(&THREADS);
        let listener = TcpListener::bind((free_host(), 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Proxy::start(Some(address));
        let record = Arc::<Record>::default();
        let handler = Arc::clone(&record) as Arc<dyn Handler>;
        let server = Arc::new(Links::new(hello(address), RULES));
        runtime::spawn(Arc::clone(&server).listen(listener, Arc::clone(&handler))).detach();
        // Nothing listens at the first VM's address, so the second has no link of its own.
        let dialler = Arc::new(Links::new(hello((free_host(), 9).into()), RULES));
        dialler.connect(proxy.address, &handler);
        let peer = server.local().incarnation;
        let link = dialler.wait_for(peer, Millis(2000)).await.expect("a link");
        Self { link, proxy, record }
    }

    /// Sends a numbered notification.
    fn notify(&self, id: u64) {
        self.record.sent.lock().unwrap().insert(id, Instant::now());
        self.link.notify(Notification::Abandon { id });
    }

    /// Sends a notification every 20 ms for `time`.
    async fn notify_for(&self, first: u64, time: Duration) {
        let start = Instant::now();
        let mut id = first;
        while start.elapsed() < time {
            self.notify(id);
            id += 1;
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}

#[test]
fn a_link_without_faults_stays_up() {
    smol::block_on(async {
        let pair = Pair::start().await;
        pair.notify_for(0, Duration::from_secs(2)).await;
        assert_eq!(pair.record.ended.load(Ordering::Relaxed), 0);
        assert!(pair.record.ages.lock().unwrap().len() > 50);
    });
}

/// Guards against a VM that acts on what a peer sent seconds ago, since late heartbeats that keep coming kept the link up.
#[test]
fn frames_that_arrive_later_than_the_link_timeout_are_not_handled() {
    smol::block_on(async {
        let pair = Pair::start().await;
        pair.notify_for(0, Duration::from_millis(300)).await;
        // Each frame is late by one to two of these times, and some arrive before every timeout.
        pair.proxy.delay(Duration::from_millis(500));
        let call = runtime::spawn({
            let link = Arc::clone(&pair.link);
            async move { link.call(Call::Routes).await }
        });
        pair.notify_for(1000, Duration::from_secs(3)).await;
        let oldest = pair.record.ages.lock().unwrap().iter().max().copied().unwrap();
        assert!(oldest <= RULES.timeout.duration() + RECORD_MAX, "{oldest:?} old");
        until("the link ends at the VM that accepted it", LIMIT, async || {
            pair.record.ended.load(Ordering::Relaxed) > 0
        })
        .await;
        assert!(call.await.is_err(), "the call outlives the link");
    });
}

/// Guards against a batch that runs on although its caller has left, since the notice of it was dropped.
#[test]
fn a_notification_that_finds_no_room_closes_the_link() {
    let (link, frames) = Link::new(hello((free_host(), 9).into()));
    for id in 0..100_000 {
        link.notify(Notification::Abandon { id });
        if frames.is_closed() {
            break;
        }
    }
    let mut queued = Vec::new();
    while let Ok(Frame::Notification(Notification::Abandon { id })) = frames.try_recv() {
        queued.push(id);
    }
    let is_complete = queued.len() == 100_000;
    assert!(is_complete || frames.is_closed(), "{} of 100000 queued", queued.len());
}
