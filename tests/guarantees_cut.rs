//! A partitioned failure domain serves the jobs that need no other domain.

mod testenv;

use std::collections::HashSet;
use std::env;
use std::time::{Duration, Instant};

use testenv::{Block, Env, Job, Setup, until};

const LIMIT: Duration = Duration::from_secs(20);

/// The duration of the partition in seconds, unless `GYPSUMKEEL_CUT_SECONDS` sets another.
const PARTITION_SECONDS: u64 = 4;

/// Partitions domain a for a while. Both sides must serve their own keys meanwhile, a key of the other side must fail as
/// unknown, and after the partition all must work together again.
fn serves_while_partitioned(block: Block) {
    let seconds = env::var("GYPSUMKEEL_CUT_SECONDS").ok().and_then(|text| text.parse().ok());
    let duration = Duration::from_secs(seconds.unwrap_or(PARTITION_SECONDS));
    let env = Env::start(&Setup { domains: &["a", "b", "c"], vms: 2, ..Setup::default() });
    smol::block_on(async {
        let (local, remote) = (&env.keys(0).await, &env.keys(4).await);
        let running = Job::new("running", 4, 1500);
        let remote_key = format!("{remote}.running");
        let first = env.caller(1).submit(&remote_key, &running);
        let partition = async {
            until("a start", LIMIT, || async { env.ledger.starts(&running.ids[0]) > 0 }).await;
            env.partition("a", block);
            let start = Instant::now();
            let mut number = 0;
            while start.elapsed() < duration {
                for (entry, prefix) in [(0, local), (1, local), (2, remote), (5, remote)] {
                    number += 1;
                    let job = Job::new(&format!("job-{number}"), 3, 20);
                    let key = format!("{prefix}.{number}");
                    let reply = env.caller(entry).submit(&key, &job).await.unwrap();
                    assert!(reply.is_whole(&job.ids), "entry {entry}: {reply:?}");
                }
                // A new key prefix needs no other domain either.
                let fresh = env.caller(1).keys().await.unwrap();
                assert!(!fresh.is_empty());
            }
            let job = Job::new("across", 1, 0);
            let reply = env.caller(0).submit(&format!("{remote}.across"), &job).await.unwrap();
            assert_eq!((reply.status, reply.execution()), (503, "unknown"), "{reply:?}");
            env.heal();
            until("the domains reach each other", LIMIT, || async {
                let reply = env.caller(0).submit(&format!("{remote}.across"), &job).await;
                reply.is_ok_and(|reply| reply.is_whole(&job.ids))
            })
            .await;
        };
        let (first, ()) = smol::future::zip(first, partition).await;
        let first = first.unwrap();
        assert!(first.is_whole(&running.ids) || first.execution() == "unknown", "{first:?}");
        let again = env.caller(0).submit(&remote_key, &running).await.unwrap();
        assert!(again.is_whole(&running.ids), "{again:?}");
        assert_eq!(env.ledger.repeated(&HashSet::new()), []);
    });
}

#[test]
fn a_domain_serves_while_its_connections_are_reset() {
    serves_while_partitioned(Block::Reset);
}

#[test]
fn a_domain_serves_while_its_connections_are_silent() {
    serves_while_partitioned(Block::Silent);
}
