//! A client keeps two jobs under way on one connection, as HTTP/1.1 allows. The VM freezes for a second, so that two
//! requests wait for it when it wakes. The answer to the third job then comes in place of the second one's.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use super::Verdict;
use crate::fleet::{Fleet, job, request};
use crate::record::Record;
use crate::worker::{KIND_A, KIND_B};

/// The length of the freeze: less than that of `node_freeze` in the site file, 4 s.
const FREEZE: Duration = Duration::from_millis(1000);

/// The pause between two requests of the client.
const PAUSE: Duration = Duration::from_millis(30);

/// The deadline of clients in the small sites.
const DEADLINE_MS: u64 = 1500;

const IDS: [&str; 3] = ["91d3c07be5a2f4c1", "91d3c07be5a2f4c2", "91d3c07be5a2f4c3"];

pub fn run(program: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(program, record, &["a", "b"], 2, &[KIND_A, KIND_A, KIND_B]);
    let fleet = fleet.map_err(|error| error.to_string())?;
    let vm = &fleet.vms[0];
    let body = job(&[(1, 60)], 6800);
    let mut client = TcpStream::connect(fleet.front(0)).map_err(|error| error.to_string())?;
    drop(client.set_nodelay(true));
    drop(client.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))));
    if has_trouble {
        vm.signal("STOP");
        record.line(&format!("{} freezes", vm.name));
    }
    // Two requests are under way, then the third is sent once the first is answered.
    let mut answers = Vec::new();
    for (number, id) in IDS.iter().enumerate() {
        if number == 2 {
            answers.extend(receive(&mut client, record, &vm.name));
        }
        record.line(&format!("client sends POST {id} on its connection to {}", vm.name));
        client
            .write_all(request(id, &body, DEADLINE_MS).as_bytes())
            .map_err(|error| error.to_string())?;
        thread::sleep(PAUSE);
        if number == 1 && has_trouble {
            thread::sleep(FREEZE - 2 * PAUSE);
            vm.signal("CONT");
            record.line(&format!("{} wakes", vm.name));
        }
    }
    while answers.len() < IDS.len() {
        match receive(&mut client, record, &vm.name) {
            Some(answer) => answers.push(answer),
            None => break,
        }
    }
    thread::sleep(Duration::from_millis(300));
    let mut false_answers = Vec::new();
    for (id, answer) in IDS.iter().zip(&answers) {
        record.line(&format!("the answer to {id} is {answer}"));
        let has_ended = fleet.events(id).iter().any(|event| event.what == "done");
        if answer.contains("\"done\"") && !has_ended {
            false_answers.push(*id);
        }
    }
    Ok(false_answers.first().map(|id| {
        format!("MIXED: job {id} is shown as done, and none of its tasks was ever started.")
    }))
}

/// The next answer on the connection: its status line and its body. `None` if there is none by the deadline.
fn receive(client: &mut TcpStream, record: &Record, vm: &str) -> Option<String> {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with('}') {
        match client.read(&mut byte) {
            Ok(1) => text.push(byte[0] as char),
            _ => {
                record.line(&format!("client gets no further answer on its connection to {vm}"));
                return None;
            }
        }
    }
    let status = text.lines().next().unwrap_or_default().to_owned();
    let body = text.lines().last().unwrap_or_default().to_owned();
    record.line(&format!("client gets {status} {body} on its connection to {vm}"));
    Some(format!("{status} {body}"))
}
