//! Open connections to a target that pass no more bytes, while new connections work.

mod testenv;

use gypsumkeel::clock::Millis;
use serde_json::json;
use smol::Timer;
use testenv::{Env, Job, Setup, Way};

/// Longer than the idle time after which a connection is checked before use.
const IDLE_TIME: Millis = Millis(400);

/// All idle connections are dropped once one of them fails its check. Otherwise the next tasks would wait for one
/// failed check after another before a new connection is opened.
#[test]
fn a_failed_check_of_one_idle_connection_drops_all_idle_connections() {
    for way in [Way::Up, Way::Down] {
        let env = Env::start(&Setup {
            domains: &["a"],
            targets: 1,
            services: json!([{ "name": "holds", "timeout": "5s", "run_max": "5s" }]),
            ..Setup::default()
        });
        smol::block_on(async {
            let prefix = env.keys(0).await;
            let wide = Job::new("wide", 8, 100);
            let reply = env.caller(0).submit(&format!("{prefix}.wide"), &wide).await.unwrap();
            assert!(reply.is_whole(&wide.ids), "{reply:?}");
            Timer::after(IDLE_TIME.duration()).await;
            env.target_proxies[0].freeze_open(way, true);
            let job = Job::new("after", 1, 0);
            let reply = env.caller(0).submit(&format!("{prefix}.after"), &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "{way:?}: {reply:?}");
            assert_eq!(env.ledger.starts(&job.ids[0]), 1);
        });
    }
}
