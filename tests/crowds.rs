//! Crowds of clients that don't behave, at each door of a VM. Each test lets one crowd come to one door after another of a
//! real process whose limits are low, and checks that the process lives, that its memory and its descriptors stay under
//! its limits, and that ordinary jobs are answered meanwhile and afterwards. No test depends on the speed of the machine.

#[path = "platform/mod.rs"]
mod platform;

use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use platform::{Env, wait_until};
use serde_json::json;

/// The memory of a VM, in megabytes.
const MEMORY_MB: u64 = 64;

/// The descriptors of a VM.
const DESCRIPTORS: usize = 512;

/// The connections of a crowd. With a body of legal size each, they hold over twice the memory of a VM.
const CROWD: usize = 600;

/// The largest body of a request, in bytes.
const BODY_MAX: usize = 256 << 10;

/// How long a write to a VM that doesn't read may block before the client gives up.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a crowd stays after it has sent everything.
const STAY: Duration = Duration::from_millis(500);

/// The doors of a VM: a port, and a path there.
const DOORS: [(u16, &str); 5] = [
    (8161, "/holds/00000000000000aa"),
    (8161, "/nowhere/1"),
    (8167, "/api/readyz"),
    (9100, "/metrics"),
    (9100, "/v1/status"),
];

/// Lets one crowd at a time load the machine.
static TURN: Mutex<()> = Mutex::new(());

/// What each client of a crowd sends, in pieces.
type Script = fn(path: &str) -> Vec<Vec<u8>>;

fn head(path: &str, framing: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: desk.example\r\n{framing}\r\n\r\n").into_bytes()
}

fn with_length(path: &str, length: usize) -> Vec<u8> {
    head(path, &format!("Content-Length: {length}"))
}

/// Sends to a VM until everything is sent, or the VM closes the connection or no longer reads.
fn send(stream: &mut TcpStream, pieces: &[Vec<u8>]) {
    for piece in pieces {
        if stream.write_all(piece).is_err() {
            return;
        }
    }
}

fn crowd(address: SocketAddr, pieces: &[Vec<u8>]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CROWD {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        send(&mut stream, pieces);
        streams.push(stream);
    }
    streams
}

/// The largest amount of memory that a process has had, in megabytes.
fn peak_memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process lives");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("a peak");
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).expect("the process lives").count()
}

fn is_done(env: &Env, id: u64) -> bool {
    env.submit(0, id, 1, 10).is_some_and(|reply| reply.status == 200)
}

/// Lets a crowd come to each door of a VM that runs a job.
fn check(script: Script) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let limits = json!({ "cpuShare": 0.5, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS,
        "linkMbps": 1000.0, "diskMb": 0 });
    let env = Env::start_limited(1, 2, &[], limits);
    env.wait_for_stable_ownership();
    let pid = env.vms[0].pid();
    for (index, (port, path)) in DOORS.into_iter().enumerate() {
        let id = (index as u64 + 1) << 32;
        let (most, accepted) = thread::scope(|scope| {
            let accepted = scope.spawn(|| env.submit(0, id, 1, 3000));
            wait_until("the job runs", || env.workers.iter().any(|worker| worker.running() > 0));
            let streams = crowd(SocketAddr::new(env.vms[0].ip, port), &script(path));
            thread::sleep(STAY);
            let most = descriptors(pid);
            wait_until("an ordinary job is done beside the crowd", || is_done(&env, id + 1));
            drop(streams);
            (most, accepted.join().unwrap())
        });
        assert_eq!(accepted.map(|reply| reply.status), Some(200), "the accepted job at {path}");
        wait_until("an ordinary job is done after the crowd", || is_done(&env, id + 2));
        let peak = peak_memory_mb(pid);
        println!("{port}{path}: {peak} MB, {most} descriptors");
        assert!(peak <= MEMORY_MB, "{peak} MB at {path}");
        assert!(most <= DESCRIPTORS, "{most} descriptors at {path}");
    }
    env.check();
}

/// Guards against keeping bodies that never end.
#[test]
fn bodies_in_one_piece_that_stop_just_short_of_their_end() {
    check(|path| {
        let mut request = with_length(path, BODY_MAX);
        request.extend(vec![b' '; BODY_MAX - 1]);
        vec![request]
    });
}

/// Guards against buffers that are larger than what has arrived.
#[test]
fn bodies_in_small_pieces_that_stop_just_short_of_their_end() {
    check(|path| {
        let mut pieces = vec![with_length(path, BODY_MAX)];
        pieces.extend(vec![vec![b' '; 4096]; BODY_MAX / 4096 - 1]);
        pieces.push(vec![b' '; 4095]);
        pieces
    });
}

/// Guards against bodies without a declared length.
#[test]
fn bodies_in_chunks_that_stop_just_short_of_their_end() {
    check(|path| {
        let mut request = head(path, "Transfer-Encoding: chunked");
        for _ in 0..BODY_MAX / 4096 - 1 {
            request.extend(b"1000\r\n");
            request.extend(vec![b' '; 4096]);
            request.extend(b"\r\n");
        }
        vec![request]
    });
}

/// Guards against reading what can only be refused.
#[test]
fn bodies_far_over_the_limit() {
    check(|path| {
        let mut request = with_length(path, 1 << 30);
        request.extend(vec![b' '; 2 * BODY_MAX]);
        vec![request]
    });
}

/// Guards against decoded jobs that are far larger than their text.
#[test]
fn bodies_of_very_many_short_fields() {
    check(|path| {
        let steps = vec!["{}"; (BODY_MAX - 100) / 3].join(",");
        let body = format!(r#"{{"spec":"7000 10","bestEffort":true,"steps":[{steps}]}}"#);
        let mut request = with_length(path, body.len());
        request.extend(body.into_bytes());
        vec![request]
    });
}

/// Guards against heads of legal size with very many headers.
#[test]
fn heads_of_very_many_short_fields_that_stop_half_way() {
    check(|path| {
        let mut request = head(path, "Content-Length: 10");
        request.truncate(request.len() - 2);
        for field in 0..2000 {
            request.extend(format!("a{field}:b\r\n").into_bytes());
        }
        vec![request]
    });
}

/// Guards against answers that pile up because nobody reads them.
#[test]
fn requests_sent_ahead_whose_answers_nobody_reads() {
    check(|path| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: desk.example\r\n\r\n");
        vec![request.repeat(200).into_bytes(); 5]
    });
}

/// Guards against slow senders and those that stop half-way, which hold a connection each.
#[test]
fn heads_that_stop_half_way() {
    check(|path| vec![format!("POST {path} HTTP/1.1\r\nHost: desk").into_bytes()]);
}

/// Guards against connections on which nothing is sent.
#[test]
fn connections_without_a_request() {
    check(|_| Vec::new());
}
