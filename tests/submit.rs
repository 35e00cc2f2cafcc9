//! `submit` against entry VMs that respond by a script: exit codes match what is known of the outcome, and a key is
//! kept or replaced such that no task is executed twice.

mod testenv;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use testenv::program;

/// The job that every test submits.
const JOB: &str = r#"{"service":"holds","tasks":[{"payload":1.50}]}"#;

/// How the scripted entry VM reacts to a submission.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Responds with a status and an execution.
    Problem(u16, &'static str),
    /// The same, with a time to wait before another attempt.
    RetryAfter(u16, &'static str),
    /// Completes the job.
    Complete,
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without a response.
    Stall,
    /// Responds like a proxy, without a problem document.
    NotJson,
}

/// Starts an entry VM that issues prefixes and reacts to successive submissions by `script`, whose last step repeats.
/// Returns its address and the submissions that it received.
fn entry(script: &'static [Step]) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let received = Arc::new(Mutex::new(Vec::new()));
    let requests = Arc::clone(&received);
    thread::spawn(move || {
        let mut prefixes = 0;
        let mut stalled = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection is accepted");
            let request = read(&mut stream);
            if request.starts_with("POST /v1/keys") {
                let body =
                    format!(r#"{{"prefix":"AAAAAAAAAAAAAAAAAAAAAA.{prefixes}","fresh_for_ms":1}}"#);
                prefixes += 1;
                reply(&mut stream, 200, &body);
                continue;
            }
            let mut requests = requests.lock().expect("no thread panicked");
            let step = script[requests.len().min(script.len() - 1)];
            requests.push(request);
            match step {
                Step::Problem(status, execution) => {
                    reply(&mut stream, status, &problem(status, execution, ""));
                }
                Step::RetryAfter(status, execution) => {
                    let wait = r#","retry_after_ms":1"#;
                    reply(&mut stream, status, &problem(status, execution, wait));
                }
                Step::Complete => reply(&mut stream, 200, r#"{"state":"complete"}"#),
                Step::Close => drop(stream),
                Step::Stall => stalled.push(stream),
                Step::NotJson => reply(&mut stream, 502, "<html>"),
            }
        }
    });
    (address, received)
}

fn problem(status: u16, execution: &str, wait: &str) -> String {
    format!(
        r#"{{"type":"t","title":"T","status":{status},"detail":"d","execution":"{execution}"{wait}}}"#
    )
}

fn reply(stream: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).expect("the response is written");
}

/// Reads a request up to the end of its body.
fn read(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut part = [0; 4096];
    loop {
        let length = stream.read(&mut part).expect("the request is read");
        text += std::str::from_utf8(&part[..length]).expect("the request is text");
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let declared = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length").then(|| value.parse::<usize>())
        });
        if body.len() >= declared.map_or(0, |length| length.expect("the length is a number")) {
            return text;
        }
    }
}

/// Submits the job to `entries` with further arguments. Returns the exit code and all output.
fn submit(entries: &[SocketAddr], args: &[&str]) -> (i32, String) {
    let entries = entries.iter().map(|entry| format!("http://{entry}")).collect::<Vec<_>>();
    let entries = entries.join(",");
    let args = [&["submit", "--entry", &entries], args, &["-"]].concat();
    let result = program::run(args, JOB);
    (result.code, result.output + &result.errors)
}

fn key(request: &str) -> &str {
    let line =
        request.lines().find(|line| line.to_ascii_lowercase().starts_with("idempotency-key"));
    line.and_then(|line| line.split_once(": ")).expect("every submission has a key").1
}

#[test]
fn exit_codes_match_the_outcome_and_unknown_outcomes_keep_the_key() {
    use Step::{Close, Complete, NotJson, Problem, RetryAfter};
    // The script, the exit code, and for each submission the number of the prefix in its key.
    let table: [(&'static [Step], i32, &[usize]); 15] = [
        (&[Complete], 0, &[0]),
        (&[Close, NotJson, Complete], 0, &[0, 0, 0]),
        (&[Problem(503, "unknown"), Complete], 0, &[0, 0]),
        (&[RetryAfter(429, "not-run"), RetryAfter(503, "not-run"), Complete], 0, &[0, 1, 2]),
        (&[Problem(503, "not-run"), Complete], 0, &[0, 1]),
        (&[Close, Problem(408, "not-run"), Problem(400, "not-run"), Complete], 0, &[0, 0, 0, 0]),
        (&[Close, RetryAfter(429, "not-run"), Complete], 0, &[0, 0, 1]),
        (&[Problem(503, "unknown"), Problem(410, "not-run")], 3, &[0, 0]),
        (&[Problem(502, "ran")], 1, &[0]),
        (&[Problem(400, "not-run")], 3, &[0]),
        (&[Problem(504, "not-run")], 3, &[0]),
        (&[Problem(502, "unknown")], 4, &[0]),
        (&[Problem(410, "unknown")], 4, &[0]),
        (&[Close, Problem(410, "ran")], 1, &[0, 0]),
        (&[Close, Problem(504, "unknown")], 4, &[0, 0]),
    ];
    for (script, code, keys) in table {
        let (address, received) = entry(script);
        let (actual, output) = submit(&[address], &[]);
        assert_eq!(actual, code, "{script:?}: {output}");
        let received = received.lock().expect("no thread panicked");
        let windows = received.iter().map(|request| key(request).split('.').nth(1));
        let expected = keys.iter().map(usize::to_string).collect::<Vec<_>>();
        let expected = expected.iter().map(|window| Some(window.as_str()));
        assert!(windows.eq(expected), "{script:?}: {received:?}");
        assert!(received.iter().all(|request| key(request) == key(&received[0]) || code == 0));
    }
}

#[test]
fn a_timeout_exits_as_refused_or_as_unknown_by_what_was_sent() {
    let (busy, _) = entry(&[Step::RetryAfter(429, "not-run")]);
    let (unknown, _) = entry(&[Step::Close, Step::Problem(408, "not-run")]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed = listener.local_addr().expect("the listener is bound");
    drop(listener);
    for (entries, code) in [(&[closed][..], 3), (&[closed, busy], 3), (&[closed, unknown], 4)] {
        let (actual, output) = submit(entries, &["--timeout", "1s"]);
        assert_eq!(actual, code, "{output}");
        assert_eq!(output.contains("--key"), code == 4, "{output}");
    }
}

#[test]
fn an_unresponsive_entry_leaves_time_for_another() {
    let (stalled, first) = entry(&[Step::Stall]);
    let (healthy, second) = entry(&[Step::Complete]);
    let (code, output) = submit(&[stalled, healthy], &["--timeout", "2s"]);
    assert_eq!(code, 0, "{output}");
    let (first, second) = (first.lock(), second.lock());
    let [first, second] = [first, second].map(|received| received.expect("no thread panicked"));
    assert_eq!(key(&first[0]), key(&second[0]));
}

#[test]
fn a_key_of_the_user_is_never_replaced() {
    use Step::{Close, Complete, Problem, RetryAfter};
    let table: [(&'static [Step], i32, usize); 3] = [
        (&[Problem(503, "unknown"), Close, Problem(408, "not-run"), Complete], 0, 4),
        (&[RetryAfter(429, "not-run")], 3, 1),
        (&[Close, Problem(503, "not-run")], 3, 2),
    ];
    for (script, code, submissions) in table {
        let (address, received) = entry(script);
        let (actual, output) = submit(&[address], &["--key", "mine-1"]);
        assert_eq!(actual, code, "{script:?}: {output}");
        let received = received.lock().expect("no thread panicked");
        assert_eq!(received.len(), submissions, "{script:?}");
        assert!(
            received.iter().all(|request| key(request) == "mine-1"),
            "{script:?}: {received:?}"
        );
    }
}

#[test]
fn the_job_is_sent_as_written() {
    let (address, received) = entry(&[Step::Complete]);
    let (code, output) = submit(&[address], &["--repeatable"]);
    assert_eq!((code, output.as_str()), (0, "{\"state\":\"complete\"}\n"));
    let received = received.lock().expect("no thread panicked");
    let (_, body) = received[0].split_once("\r\n\r\n").expect("the request has a body");
    assert_eq!(body, r#"{"repeatable":true,"service":"holds","tasks":[{"payload":1.50}]}"#);
}
