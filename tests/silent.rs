//! Open connections to a target go silent for good while new ones work.

mod testenv;

use gypsumkeel::clock::Millis;
use serde_json::json;
use smol::Timer;
use testenv::{Env, Job, Setup, Way};

/// Longer than the connections may be idle without a proof.
const IDLE: Millis = Millis(400);

#[test]
fn one_silent_connection_is_found_for_all_that_are_idle() {
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
            Timer::after(IDLE.duration()).await;
            env.target_proxies[0].freeze_open(way, true);
            let job = Job::new("after", 1, 0);
            let reply = env.caller(0).submit(&format!("{prefix}.after"), &job).await.unwrap();
            assert!(reply.is_whole(&job.ids), "{way:?}: {reply:?}");
            assert_eq!(env.ledger.starts(&job.ids[0]), 1);
        });
    }
}
