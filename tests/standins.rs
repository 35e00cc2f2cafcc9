//! Tests of the test environment: a fake target counts starts and fails on command, and a proxy delays, drops and
//! resets traffic.

mod testenv;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::http::{Connection, Error, Request, Response};
use http_types::Method;
use testenv::{Block, Fault, Ledger, Proxy, Target, Way, wait_until};

/// How long an expected response may take on a busy machine.
const TIMEOUT: Millis = Millis(10_000);

/// How long to wait where no response is expected.
const NO_RESPONSE_TIMEOUT: Millis = Millis(300);

async fn send(connection: &mut Connection, id: &str, ms: u64) -> Result<Response, Error> {
    send_within(TIMEOUT, connection, id, ms).await
}

async fn send_within(
    timeout: Millis,
    connection: &mut Connection,
    id: &str,
    ms: u64,
) -> Result<Response, Error> {
    let body = format!(r#"{{"id":"{id}","ms":{ms}}}"#);
    let request = Request {
        method: Method::Post,
        path: "/v1/tasks",
        headers: &[("Task-Id", id), ("Service", "holds")],
        body: body.as_bytes(),
        timeout,
    };
    connection.send(&request).await
}

#[test]
fn a_target_counts_starts_and_fails_on_command() {
    let ledger = Arc::<Ledger>::default();
    let target = Target::start("t", 1, Arc::clone(&ledger));
    smol::block_on(async {
        let open = || Connection::open(target.address, TIMEOUT);
        let (mut one, mut two) = (open().await.unwrap(), open().await.unwrap());
        let both = smol::future::zip(send(&mut one, "a", 400), send(&mut two, "b", 400)).await;
        let mut statuses = [both.0.unwrap().status, both.1.unwrap().status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 503]);
        for (fault, status) in [
            (Fault::Fail, Some(500)),
            (Fault::WrongId, Some(200)),
            (Fault::Stall, None),
            (Fault::CloseAfterStart, None),
            (Fault::DropAnswer, None),
        ] {
            // The only slot becomes free once the target notices that the stalled connection has closed.
            let running = || target.counts().running.load(Ordering::Relaxed);
            wait_until("a free slot", TIMEOUT.duration(), || running() == 0);
            target.set(|mode| mode.fault = fault);
            let timeout = if fault == Fault::Stall { NO_RESPONSE_TIMEOUT } else { TIMEOUT };
            let response = send_within(timeout, &mut open().await.unwrap(), "c", 1).await;
            assert_eq!(response.ok().map(|response| response.status), status, "{fault:?}");
        }
        target.kill();
        assert!(matches!(open().await, Err(Error::Unsent(_))));
        target.revive();
        target.set(|mode| mode.fault = Fault::None);
        assert_eq!(send(&mut open().await.unwrap(), "d", 1).await.unwrap().status, 200);
    });
    assert_eq!((ledger.starts("c"), ledger.starts("d"), ledger.total()), (5, 1, 7));
    assert_eq!(target.counts().refused.load(Ordering::Relaxed), 1);
}

/// A VM that connects to the former address of another VM may reach a target. The target must reject its request and
/// keep serving.
#[test]
fn a_target_rejects_unknown_requests_and_addresses_are_distinct() {
    let ledger = Arc::<Ledger>::default();
    let targets = (0..4).map(|_| Target::start("t", 8, Arc::clone(&ledger))).collect::<Vec<_>>();
    let proxies = targets.iter().map(|target| Proxy::start(Some(target.address)));
    let proxies = proxies.collect::<Vec<_>>();
    smol::block_on(async {
        let mut connection = Connection::open(proxies[0].address, TIMEOUT).await.unwrap();
        let unknown = connection.send(&Request::get("/", TIMEOUT)).await.unwrap();
        assert_eq!(unknown.status, 404);
        assert_eq!(send(&mut connection, "a", 0).await.unwrap().status, 200);
    });
    let addresses = targets.iter().map(|target| target.address);
    let addresses = addresses.chain(proxies.iter().map(|proxy| proxy.address));
    let hosts = addresses.map(|address| address.ip()).collect::<HashSet<_>>();
    assert_eq!(hosts.len(), targets.len() + proxies.len());
}

#[test]
fn a_proxy_freezes_resets_and_drops_responses() {
    let ledger = Arc::<Ledger>::default();
    let target = Target::start("t", 8, Arc::clone(&ledger));
    let proxy = Proxy::start(Some(target.address));
    smol::block_on(async {
        let open = || Connection::open(proxy.address, TIMEOUT);
        // The connection may be reset before the request or during it.
        let fail = async || match open().await {
            Ok(mut connection) => send(&mut connection, "refused", 0).await.unwrap_err(),
            Err(error) => error,
        };
        for (way, starts) in [(Way::Up, 0), (Way::Down, 1)] {
            proxy.heal();
            let mut old = open().await.unwrap();
            send(&mut old, "a", 0).await.unwrap();
            proxy.freeze_open(way, true);
            let result = send_within(NO_RESPONSE_TIMEOUT, &mut old, &format!("{way:?}"), 0).await;
            assert!(matches!(result, Err(Error::Lost(_))), "{result:?}");
            assert_eq!(ledger.starts(&format!("{way:?}")), starts);
            send(&mut open().await.unwrap(), "new", 0).await.unwrap();
        }
        proxy.heal();
        proxy.lose_response_to("lost");
        send(&mut open().await.unwrap(), "lost", 0).await.unwrap_err();
        assert_eq!((ledger.starts("lost"), proxy.lost()), (1, 1));
        proxy.refuse(true);
        fail().await;
        proxy.heal();
        proxy.block(Block::Reset, |first| first.contains("POST /v1/tasks"));
        fail().await;
        assert_eq!(ledger.starts("refused"), 0);
        proxy.heal();
        proxy.delay(Duration::from_millis(20));
        assert_eq!(send(&mut open().await.unwrap(), "slow", 0).await.unwrap().status, 200);
    });
}
