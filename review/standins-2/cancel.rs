//! Cancelling jobs while the VM at which their clients wait, or the one that is asked, is disturbed.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, SIGCONT, SIGSTOP};
use crate::record::Record;

/// The bounds of the site: `stableWindowMs`, `cancel_ms` and `stopMs`.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const CANCEL: Duration = Duration::from_millis(3000);
const STOP: Duration = Duration::from_millis(50);

/// How long a client waits for the outcome of its job.
const PATIENCE: Duration = Duration::from_secs(60);

/// How long a client asks for the acknowledgement of a cancelling.
const CANCEL_PATIENCE: Duration = Duration::from_secs(4);

/// A job of `steps` steps, each of one task of `ms` milliseconds, one after the other.
fn chain(steps: u32, ms: u32) -> String {
    let step = |index: u32| {
        let after = if index == 0 { String::new() } else { format!(",\"after\":[{}]", index - 1) };
        format!("{{\"count\":1,\"cpu\":2000,\"memMb\":64,\"estMs\":{ms}{after}}}")
    };
    let steps = (0..steps).map(step).collect::<Vec<_>>().join(",");
    format!("{{\"spec\":\"{ms}\",\"bestEffort\":true,\"steps\":[{steps}]}}")
}

fn id(index: usize) -> String {
    format!("{:016x}", 0xc0de_0000_0000_0000_u64 + index as u64)
}

/// Asks a VM to cancel a job until it gets an acknowledgement, and returns its status and the time; a 503 names the time
/// after which to ask again.
fn cancel(fleet: &Fleet, vm: usize, id: &str, until: Instant) -> Option<(u16, Duration)> {
    loop {
        let reply = fleet.cancel(vm, id, CANCEL_PATIENCE);
        match reply {
            Ok(reply) if reply.status == 410 || (200..300).contains(&reply.status) => {
                return Some((reply.status, fleet.record.now()));
            }
            Ok(reply) => thread::sleep(Duration::from_secs(reply.retry_after.unwrap_or(1))),
            Err(_) => thread::sleep(Duration::from_millis(200)),
        }
        if Instant::now() > until {
            return None;
        }
    }
}

/// Checks UNASKED: no task of a cancelled job starts, or goes on, once `calm_from` and the time allowed have passed.
///
/// `calm_from` is when the disruption ended. Until a stable window later nothing is counted; after it, a task of a cancelled
/// job has to be gone within `cancel_ms` + `stopMs`.
fn check(record: &Record, jobs: &[(String, u16, Duration)], calm_from: Duration) -> Vec<String> {
    let mut broken = Vec::new();
    for (id, status, acknowledged_at) in jobs {
        let from = (calm_from + STABLE_WINDOW).max(*acknowledged_at) + CANCEL + STOP;
        let runs = record.runs();
        let late = runs.iter().filter(|run| run.job() == id);
        let starts = late.clone().filter(|run| run.from > from).count();
        let at_work = late.filter(|run| run.end.is_none_or(|(end, _)| end > from)).count();
        if at_work > 0 {
            broken.push(format!(
                "UNASKED: the cancelling of {id} was acknowledged with {status} at {:.3} s; {at_work} of its tasks ran after \
                 {:.3} s, and {starts} of these were started after that",
                acknowledged_at.as_secs_f64(),
                from.as_secs_f64()
            ));
        }
    }
    broken
}

/// The VM at which clients wait for their jobs freezes for 4 s. Two seconds later the clients cancel the jobs at another VM
/// of the zone.
pub fn frozen(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const JOBS: usize = 3;
    let fleet = &Fleet::start(record, &["a", "b"], 2, 3)?;
    // The VMs 0 and 2 are in zone a.
    let (holder, other) = (0, 2);
    thread::sleep(STABLE_WINDOW);
    thread::scope(|scope| {
        for job in 0..JOBS {
            scope.spawn(move || fleet.submit(holder, &id(job), &chain(30, 500), PATIENCE));
        }
        thread::sleep(Duration::from_secs(2));
        if has_trouble {
            fleet.signal(holder, SIGSTOP);
        }
        thread::sleep(Duration::from_millis(2200));
        let until = Instant::now() + Duration::from_secs(20);
        let cancels =
            (0..JOBS).map(|job| scope.spawn(move || cancel(fleet, other, &id(job), until)));
        let cancels = cancels.collect::<Vec<_>>();
        thread::sleep(Duration::from_millis(1800));
        if has_trouble {
            fleet.signal(holder, SIGCONT);
        }
        let calm_from = record.now();
        let acknowledged = cancels.into_iter().enumerate().filter_map(|(job, cancel)| {
            let (status, at) = cancel.join().ok()??;
            Some((id(job), status, at))
        });
        let acknowledged = acknowledged.collect::<Vec<_>>();
        if acknowledged.len() < JOBS {
            return Err("not all cancels were acknowledged".to_owned());
        }
        // Longer than what is left of the jobs, if they run again from their first steps.
        thread::sleep(Duration::from_secs(20));
        Ok(check(record, &acknowledged, calm_from))
    })
}

/// Clients cancel five of twenty jobs. The POST of one of these arrives once more, 4 s after it was answered with 2xx.
pub fn repeated(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const JOBS: usize = 20;
    const CANCELLED: usize = 5;
    const REPEATED: usize = 0;
    let fleet = &Fleet::start(record, &["a", "b"], 2, 3)?;
    let vms = fleet.vms.len();
    thread::sleep(STABLE_WINDOW);
    thread::scope(|scope| {
        let posts = (0..JOBS).map(|job| {
            scope.spawn(move || fleet.submit(job % vms, &id(job), &chain(10, 400), PATIENCE))
        });
        let mut posts = posts.collect::<Vec<_>>();
        thread::sleep(Duration::from_secs(1));
        let until = Instant::now() + Duration::from_secs(10);
        let mut acknowledged = Vec::new();
        for job in 0..CANCELLED {
            let (status, at) = cancel(fleet, (job + 1) % vms, &id(job), until)
                .ok_or("a cancel was not acknowledged")?;
            acknowledged.push((id(job), status, at));
        }
        let answer = posts.swap_remove(REPEATED).join().map_err(|_| "a client failed")??;
        if !(200..300).contains(&answer.status) {
            return Err(format!(
                "the POST of the cancelled job was answered with {}",
                answer.status
            ));
        }
        thread::sleep(Duration::from_secs(4));
        if has_trouble {
            drop(fleet.submit((REPEATED + 2) % vms, &id(REPEATED), &chain(10, 400), PATIENCE));
        }
        thread::sleep(Duration::from_secs(2));
        Ok(check(record, &acknowledged, Duration::ZERO))
    })
}

/// A VM is added while the store turns it away for 6 s. As soon as it is ready, clients cancel jobs there whose clients wait
/// at another VM of the zone.
pub fn added(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const JOBS: usize = 3;
    const REFUSED_FOR: Duration = Duration::from_secs(6);
    let mut fleet = Fleet::start(record, &["a", "b", "c"], 2, 3)?;
    // The VMs 0 and 3 are in zone a; the seeds are the VMs 0, 1 and 2.
    let holder = 3;
    thread::sleep(STABLE_WINDOW);
    let added = fleet.prepare("a");
    let fleet = &fleet;
    thread::scope(|scope| {
        for job in 0..JOBS {
            scope.spawn(move || fleet.submit(holder, &id(job), &chain(40, 500), PATIENCE));
        }
        thread::sleep(Duration::from_secs(1));
        fleet.refuse(added, has_trouble);
        let refused_at = Instant::now();
        fleet.launch(added)?;
        fleet.wait("the new VM is ready", REFUSED_FOR, || fleet.is_ready(added))?;
        let until = Instant::now() + Duration::from_secs(20);
        let cancels =
            (0..JOBS).map(|job| scope.spawn(move || cancel(fleet, added, &id(job), until)));
        let cancels = cancels.collect::<Vec<_>>();
        thread::sleep(REFUSED_FOR.saturating_sub(refused_at.elapsed()));
        fleet.refuse(added, false);
        let calm_from = record.now();
        let acknowledged = cancels.into_iter().enumerate().filter_map(|(job, cancel)| {
            let (status, at) = cancel.join().ok()??;
            Some((id(job), status, at))
        });
        let acknowledged = acknowledged.collect::<Vec<_>>();
        if acknowledged.len() < JOBS {
            return Err("not all cancels were acknowledged".to_owned());
        }
        thread::sleep(Duration::from_secs(18));
        Ok(check(record, &acknowledged, calm_from))
    })
}
