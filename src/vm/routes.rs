//! Passes the configuration on between VMs: a VM to which the store's watch doesn't bring a new version fetches it from
//! another one.

use std::sync::Arc;

use smol::Timer;
use smol::future::FutureExt as _;

use crate::clock::Millis;
use crate::job::Incarnation;
use crate::metrics::Counter;
use crate::peer::Link;
use crate::wire::{Call, Reply};

use super::node::Node;

/// How long the store may take to bring a version that another VM has announced, before it is fetched from there. Up
/// to as much jitter is added.
const STORE_LEAD: Millis = Millis(200);

/// The timeout of a fetch.
const FETCH_TIMEOUT: Millis = Millis(1000);

/// The pause after a first failed fetch. It doubles up to [`RETRY_PAUSE_MAX`]; up to as much jitter is added.
const RETRY_PAUSE_MIN: Millis = Millis(50);

/// The longest pause after a failed fetch, without jitter.
const RETRY_PAUSE_MAX: Millis = Millis(400);

/// The most VMs that this VM sends the configuration to at the same time. Heartbeats wait behind these replies.
const REPLIES_MAX: usize = 2;

impl Node {
    /// Fetches each version that another VM has announced and the store hasn't brought, one fetch at a time, until the
    /// process ends.
    pub(super) async fn fetch_routes(self: Arc<Self>) {
        loop {
            self.wait_for_newer_routes().await;
            pause(STORE_LEAD).await;
            let mut retry_pause = RETRY_PAUSE_MIN;
            let mut last = None;
            while let Some(link) = self.choose_newer(last) {
                last = Some(link.hello.incarnation);
                if !self.fetch_from(&link).await {
                    pause(retry_pause).await;
                    retry_pause = (retry_pause * 2).min(RETRY_PAUSE_MAX);
                }
            }
        }
    }

    /// Reports that another VM may have announced a newer version, or may be linked again.
    pub(super) fn notice_routes(&self) {
        self.routes_announced.notify(usize::MAX);
    }

    async fn wait_for_newer_routes(&self) {
        loop {
            let announced = self.routes_announced.listen();
            if self.choose_newer(None).is_some() {
                return;
            }
            announced.await;
        }
    }

    /// The link to a random one of the VMs that announced a newer version; to another one than `last` if there is one.
    fn choose_newer(&self, last: Option<Incarnation>) -> Option<Arc<Link>> {
        let version = self.routes.version();
        let up = self.links.up();
        let core = self.lock();
        let newer = core.loads.iter().filter(|(_, load)| load.utilization.routes > version);
        let links = newer.filter_map(|(vm, _)| up.get(vm)).collect::<Vec<_>>();
        drop(core);
        let is_other = |link: &&&Arc<Link>| Some(link.hello.incarnation) != last;
        let others = links.iter().filter(is_other).collect::<Vec<_>>();
        let link = fastrand::choice(others).or_else(|| links.first());
        link.map(|link| Arc::clone(link))
    }

    /// Fetches the configuration from another VM. Returns whether a newer one is in force now.
    async fn fetch_from(&self, link: &Link) -> bool {
        self.metrics.count(Counter::RoutesFetches);
        let version = self.routes.version();
        let expired = async {
            Timer::after(FETCH_TIMEOUT.duration()).await;
            None
        };
        let reply = async { link.call(Call::Routes).await.ok() }.or(expired).await;
        if let Some(Reply::Routes(text)) = reply
            && !text.is_empty()
        {
            self.metrics.add(Counter::RoutesFetchedBytes, text.len() as u64);
            self.apply_routes(&text, &link.hello.vm);
        }
        self.routes.version() > version
    }

    /// The configuration for a VM that asks for it; empty if [`REPLIES_MAX`] others are being sent it. Every reply that
    /// isn't sent yet shares the text.
    pub(super) fn routes_reply(&self) -> Reply {
        let snapshot = self.routes.snapshot();
        let unsent = Arc::strong_count(&snapshot.text) - 1;
        if unsent >= REPLIES_MAX {
            return Reply::Routes(Arc::default());
        }
        Reply::Routes(Arc::clone(&snapshot.text))
    }
}

/// Waits for `least`, and up to as long again.
async fn pause(least: Millis) {
    let jitter = Millis(fastrand::u64(0..=least.0));
    Timer::after((least + jitter).duration()).await;
}
