//! The stand-ins themselves: a target counts starts and fails on command, a proxy holds and cuts.

mod testenv;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::http::{Answer, Connection, Error, Question};
use http_types::Method;
use testenv::{Block, Fault, Ledger, Proxy, Target, Way, wait_until};

/// How long an answer may take that is expected, on a busy machine.
const PATIENCE: Millis = Millis(10_000);

/// How long silence lasts before it counts as silence.
const SILENCE: Millis = Millis(300);

async fn send(connection: &mut Connection, id: &str, ms: u64) -> Result<Answer, Error> {
    send_within(PATIENCE, connection, id, ms).await
}

async fn send_within(
    timeout: Millis,
    connection: &mut Connection,
    id: &str,
    ms: u64,
) -> Result<Answer, Error> {
    let body = format!(r#"{{"id":"{id}","ms":{ms}}}"#);
    let question = Question {
        method: Method::Post,
        path: "/v1/tasks",
        headers: &[("Task-Id", id), ("Service", "holds")],
        body: body.as_bytes(),
        timeout,
    };
    connection.ask(&question).await
}

#[test]
fn a_target_counts_starts_and_misbehaves_on_command() {
    let ledger = Arc::<Ledger>::default();
    let target = Target::start("t", 1, Arc::clone(&ledger));
    smol::block_on(async {
        let open = || Connection::open(target.address, PATIENCE);
        let (mut one, mut two) = (open().await.unwrap(), open().await.unwrap());
        let both = smol::future::zip(send(&mut one, "a", 400), send(&mut two, "b", 400)).await;
        let mut statuses = [both.0.unwrap().status, both.1.unwrap().status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 503]);
        for (fault, seen) in [
            (Fault::Fail, Some(500)),
            (Fault::WrongId, Some(200)),
            (Fault::Stall, None),
            (Fault::CloseAfterStart, None),
            (Fault::DropAnswer, None),
        ] {
            // The one slot is free again once the target has seen the end of the stalled connection.
            let running = || target.counts().running.load(Ordering::Relaxed);
            wait_until("a free slot", PATIENCE.duration(), || running() == 0);
            target.set(|mode| mode.fault = fault);
            let patience = if fault == Fault::Stall { SILENCE } else { PATIENCE };
            let answer = send_within(patience, &mut open().await.unwrap(), "c", 1).await;
            assert_eq!(answer.ok().map(|answer| answer.status), seen, "{fault:?}");
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

/// A VM that dials where another one was may reach a target: the target is to go on.
#[test]
fn a_stranger_is_turned_away_and_no_address_is_shared() {
    let ledger = Arc::<Ledger>::default();
    let targets = (0..4).map(|_| Target::start("t", 8, Arc::clone(&ledger))).collect::<Vec<_>>();
    let proxies = targets.iter().map(|target| Proxy::start(Some(target.address)));
    let proxies = proxies.collect::<Vec<_>>();
    smol::block_on(async {
        let mut connection = Connection::open(proxies[0].address, PATIENCE).await.unwrap();
        let stranger = connection.ask(&Question::get("/", PATIENCE)).await.unwrap();
        assert_eq!(stranger.status, 404);
        assert_eq!(send(&mut connection, "a", 0).await.unwrap().status, 200);
    });
    let addresses = targets.iter().map(|target| target.address);
    let addresses = addresses.chain(proxies.iter().map(|proxy| proxy.address));
    let hosts = addresses.map(|address| address.ip()).collect::<HashSet<_>>();
    assert_eq!(hosts.len(), targets.len() + proxies.len());
}

#[test]
fn a_proxy_freezes_cuts_and_loses_answers() {
    let ledger = Arc::<Ledger>::default();
    let target = Target::start("t", 8, Arc::clone(&ledger));
    let proxy = Proxy::start(Some(target.address));
    smol::block_on(async {
        let open = || Connection::open(proxy.address, PATIENCE);
        // A reset may come before the request or during it.
        let fail = async || match open().await {
            Ok(mut connection) => send(&mut connection, "refused", 0).await.unwrap_err(),
            Err(error) => error,
        };
        for (way, starts) in [(Way::Up, 0), (Way::Down, 1)] {
            proxy.heal();
            let mut old = open().await.unwrap();
            send(&mut old, "a", 0).await.unwrap();
            proxy.freeze_open(way, true);
            let silent = send_within(SILENCE, &mut old, &format!("{way:?}"), 0).await;
            assert!(matches!(silent, Err(Error::Lost(_))), "{silent:?}");
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
