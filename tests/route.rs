//! The routes in force, which several threads may offer at the same time.

use std::sync::Barrier;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use gypsumkeel::route::{Holder, Table};

const THREADS: u64 = 8;
const ROUNDS: u64 = 10_000;

fn table(version: u64) -> Table {
    Table::new(version, 0, [])
}

fn text(version: u64) -> Vec<u8> {
    version.to_be_bytes().to_vec()
}

#[test]
fn an_offer_that_is_slower_than_a_later_version_does_not_replace_it() {
    let holder = Holder::default();
    let start = Barrier::new(THREADS as usize);
    let regressed = AtomicU64::new(0);
    let torn = AtomicU64::new(0);
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let (holder, start, regressed, torn) = (&holder, &start, &regressed, &torn);
            scope.spawn(move || {
                for round in 0..ROUNDS {
                    start.wait();
                    let version = 1 + round * THREADS + (thread + round) % THREADS;
                    holder.offer(table(version), &text(version));
                    let seen = holder.snapshot();
                    let version_seen = seen.table.version;
                    regressed.fetch_add(u64::from(version_seen < version), Ordering::Relaxed);
                    torn.fetch_add(u64::from(*seen.text != text(version_seen)), Ordering::Relaxed);
                }
            });
        }
    });
    assert_eq!((regressed.into_inner(), torn.into_inner()), (0, 0));
    assert_eq!(holder.version(), THREADS * ROUNDS);
}

#[test]
fn an_offer_tells_which_version_it_replaced() {
    let holder = Holder::default();
    let offers = [3, 2, 3, 7].map(|version| holder.offer(table(version), &text(version)));
    insta::assert_snapshot!(format!("{offers:?}"), @"[Some(0), None, None, Some(3)]");
    assert_eq!((holder.version(), holder.table().version), (7, 7));
}
