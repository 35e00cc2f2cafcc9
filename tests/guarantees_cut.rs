//! A failure domain that is cut off goes on serving what it can.

mod testenv;

use std::collections::HashSet;
use std::env;
use std::time::{Duration, Instant};

use testenv::{Block, Env, Job, Setup, until};

const LIMIT: Duration = Duration::from_secs(20);

/// How long the cut lasts, in seconds, unless `GYPSUMKEEL_CUT_SECONDS` says otherwise.
const CUT_SECONDS: u64 = 4;

fn serves_while_partitioned(block: Block) {
    let seconds = env::var("GYPSUMKEEL_CUT_SECONDS").ok().and_then(|text| text.parse().ok());
    let lasts = Duration::from_secs(seconds.unwrap_or(CUT_SECONDS));
    let env = Env::start(&Setup { domains: &["a", "b", "c"], vms: 2, ..Setup::default() });
    smol::block_on(async {
        let (own, far) = (&env.keys(0).await, &env.keys(4).await);
        let running = Job::new("running", 4, 1500);
        let far_key = format!("{far}.running");
        let first = env.caller(1).submit(&far_key, &running);
        let cut = async {
            until("a start", LIMIT, || async { env.ledger.starts(&running.ids[0]) > 0 }).await;
            env.partition("a", block);
            let start = Instant::now();
            let mut number = 0;
            while start.elapsed() < lasts {
                for (entry, prefix) in [(0, own), (1, own), (2, far), (5, far)] {
                    number += 1;
                    let job = Job::new(&format!("job-{number}"), 3, 20);
                    let key = format!("{prefix}.{number}");
                    let reply = env.caller(entry).submit(&key, &job).await.unwrap();
                    assert!(reply.is_whole(&job.ids), "entry {entry}: {reply:?}");
                }
                // A fresh prefix, too, needs nobody else.
                let fresh = env.caller(1).keys().await.unwrap();
                assert!(!fresh.is_empty());
            }
            let job = Job::new("across", 1, 0);
            let reply = env.caller(0).submit(&format!("{far}.across"), &job).await.unwrap();
            assert_eq!((reply.status, reply.execution()), (503, "unknown"), "{reply:?}");
            env.heal();
            until("the domains are together", LIMIT, || async {
                let reply = env.caller(0).submit(&format!("{far}.across"), &job).await;
                reply.is_ok_and(|reply| reply.is_whole(&job.ids))
            })
            .await;
        };
        let (first, ()) = smol::future::zip(first, cut).await;
        let first = first.unwrap();
        assert!(first.is_whole(&running.ids) || first.execution() == "unknown", "{first:?}");
        let again = env.caller(0).submit(&far_key, &running).await.unwrap();
        assert!(again.is_whole(&running.ids), "{again:?}");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

#[test]
fn a_domain_whose_links_are_reset() {
    serves_while_partitioned(Block::Reset);
}

#[test]
fn a_domain_whose_links_go_silent() {
    serves_while_partitioned(Block::Silent);
}
