//! A job's connection is reset while another request waits on it, and the client sends the job again at another VM. It then
//! cancels the job there, which is acknowledged, and the first submission goes on.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::fleet::{Fleet, job, request};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::worker::{KIND_A, KIND_B};

/// `resendMs`, `cancel_ms` and `stopMs` of the small sites.
const RESEND: Duration = Duration::from_millis(1300);
const CANCEL: Duration = Duration::from_millis(3000);
const STOP: Duration = Duration::from_millis(50);

/// When the second job is sent, and when the connection is reset, after the first job was sent.
const SECOND_AFTER: Duration = Duration::from_millis(20);
const RESET_AFTER: Duration = Duration::from_millis(50);

/// When the client cancels its job, after it has sent it for the last time.
const CANCEL_AFTER: Duration = Duration::from_millis(500);

/// How long the client waits for its job.
const DEADLINE_MS: u64 = 10_000;

const FIRST: &str = "a80d4c63e1b7f295";
const SECOND: &str = "a80d4c63e1b7f296";

/// The VM that the client comes to first, and the one after the reset.
const ENTRY: usize = 0;
const OTHER: usize = 2;

pub fn run(program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let kinds = [KIND_A, KIND_A, KIND_B];
    let fleet =
        Fleet::start(program, record, &["a", "b"], 2, &kinds).map_err(|error| error.to_string())?;
    let fleet = Arc::new(fleet);
    let long = job(&[(1, 500); 14], 6800);
    let short = job(&[(1, 60)], 6800);
    let sent_at = Instant::now();
    let proxy = Proxy::start(fleet.front(ENTRY)).map_err(|error| error.to_string())?;
    let mut client = TcpStream::connect(proxy.address).map_err(|error| error.to_string())?;
    for (id, body) in [(FIRST, &long), (SECOND, &short)] {
        record.line(&format!(
            "client sends POST {id} on its connection to {}",
            fleet.vms[ENTRY].name
        ));
        let bytes = request(id, body, DEADLINE_MS);
        client.write_all(bytes.as_bytes()).map_err(|error| error.to_string())?;
        thread::sleep(SECOND_AFTER);
    }
    thread::sleep(RESET_AFTER.saturating_sub(sent_at.elapsed()));
    if fleet.events(FIRST).is_empty() {
        return Err("the first job has not begun".to_owned());
    }
    let mut again = Vec::new();
    if has_trouble {
        proxy.reset();
        record.line("the client's connection is reset, at both ends");
        thread::sleep(RESEND);
        again.push(fleet.post_in_background(OTHER, FIRST, &long, DEADLINE_MS));
        again.push(fleet.post_in_background(OTHER, SECOND, &short, DEADLINE_MS));
    }
    thread::sleep(CANCEL_AFTER);
    let cancelled = fleet.delete(OTHER, FIRST, 1500);
    let acknowledged_at = Instant::now();
    let is_acknowledged = cancelled
        .as_ref()
        .is_ok_and(|answer| (200..300).contains(&answer.status) || answer.status == 410);
    if !is_acknowledged {
        return Err(format!("the cancelling was not acknowledged: {cancelled:?}"));
    }
    for again in again {
        drop(again.join());
    }
    thread::sleep(CANCEL + Duration::from_millis(1500));
    let events = fleet.events(FIRST);
    let late = events.iter().filter(|event| event.what == "start");
    let late = late.filter(|event| event.at > acknowledged_at + CANCEL).count();
    let last = events.iter().filter(|event| event.what != "start").map(|event| event.at).max();
    let last = last.map_or(Duration::ZERO, |at| at.saturating_duration_since(acknowledged_at));
    Ok((late > 0 || last > CANCEL + STOP).then(|| {
        format!(
            "UNASKED: {late} starts of the cancelled job later than cancel_ms (3,000) after the acknowledgement; a task of it \
             ended {} ms after it.",
            last.as_millis()
        )
    }))
}
