//! A client sends two jobs on one connection, the second before the first is answered, as HTTP/1.1 allows. The connection
//! is reset, and the client sends its jobs again at another VM after `resendMs`.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::fleet::{Fleet, job, job_that_lasts, request};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::worker::{KIND_A, KIND_B, overlaps};

/// `resendMs` of the small sites.
const RESEND: Duration = Duration::from_millis(1300);

/// The deadline of clients in the small sites.
const DEADLINE_MS: u64 = 1500;

/// The work of the first job, within that of the site's longer jobs (900 ms on average, 3,600 at most), and its estimate.
const WORK_MS: u64 = 1470;
const ESTIMATE_MS: u64 = 1200;

/// When the second job is sent, and when the connection is reset, after the first job was sent.
const SECOND_AFTER: Duration = Duration::from_millis(20);
const RESET_AFTER: Duration = Duration::from_millis(50);

const FIRST: &str = "3f60b1c7d2e84a95";
const SECOND: &str = "3f60b1c7d2e84a96";

pub fn run(program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(program, record, &["a", "b"], 2, &[KIND_A, KIND_A, KIND_B]);
    let fleet = Arc::new(fleet.map_err(|error| error.to_string())?);
    let long = job_that_lasts(WORK_MS, &[(1, ESTIMATE_MS)], 6800);
    let short = job(&[(1, 60)], 6800);
    let sent_at = Instant::now();
    let proxy = Proxy::start(fleet.front(0)).map_err(|error| error.to_string())?;
    let mut client = TcpStream::connect(proxy.address).map_err(|error| error.to_string())?;
    let send = |client: &mut TcpStream, id: &str, body: &str| {
        record.line(&format!(
            "client sends POST {id} on its connection to {}: {body}",
            fleet.vms[0].name
        ));
        client
            .write_all(request(id, body, DEADLINE_MS).as_bytes())
            .map_err(|error| error.to_string())
    };
    send(&mut client, FIRST, &long)?;
    thread::sleep(SECOND_AFTER);
    send(&mut client, SECOND, &short)?;
    thread::sleep(RESET_AFTER.saturating_sub(sent_at.elapsed()));
    if !fleet.events(FIRST).iter().any(|event| event.what == "start") {
        return Err("the first job has not begun".to_owned());
    }
    if has_trouble {
        let reset_at = Instant::now();
        proxy.reset();
        record.line("the client's connection is reset, at both ends");
        if read_all(&mut client, 1).is_ok_and(|text| !text.is_empty()) {
            return Err("the client got an answer before the reset".to_owned());
        }
        thread::sleep(RESEND.saturating_sub(reset_at.elapsed()));
        let second = fleet.post_in_background(2, SECOND, &short, DEADLINE_MS);
        drop(fleet.post(2, FIRST, &long, DEADLINE_MS));
        drop(second.join());
    } else {
        let text = read_all(&mut client, 2).unwrap_or_default();
        record.line(&format!(
            "client gets {} answers on its connection",
            text.matches("HTTP/1.1 200").count()
        ));
    }
    thread::sleep(Duration::from_millis(300));
    let events = fleet.ledger.lock().unwrap().clone();
    Ok(overlaps(&events).first().map(|(task, first, second, together)| {
        format!(
            "TWICE: {task} ran on {first} and on {second} at the same time, for {} ms.",
            together.as_millis()
        )
    }))
}

/// Reads until `answers` answers have come, the connection ends, or the client's deadline has passed.
fn read_all(client: &mut TcpStream, answers: usize) -> io::Result<String> {
    client.set_read_timeout(Some(Duration::from_millis(2 * DEADLINE_MS)))?;
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while text.matches("\"state\"").count() < answers {
        let length = client.read(&mut buffer)?;
        if length == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    Ok(text)
}
