//! `submit` against entry VMs that answer from a script: exit codes are truthful, and keys are kept or
//! renewed as at-most-once demands.

mod testenv;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use testenv::program;

/// The job that every test submits.
const JOB: &str = r#"{"service":"holds","tasks":[{"payload":1.50}]}"#;

/// What the scripted entry VM does with a submission.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Answers with a status and an execution.
    Say(u16, &'static str),
    /// The same, with a hint to try again.
    Hint(u16, &'static str),
    /// Completes the job.
    Complete,
    /// Closes the connection without an answer.
    Cut,
    /// Keeps the connection and says nothing.
    Silent,
    /// Answers like a proxy that knows nothing.
    Gibberish,
}

/// Listens, gives out prefixes, and answers one submission after another from `script`; its last act
/// repeats. Keeps the submissions' keys and bodies.
fn entry(script: &'static [Act]) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let seen = Arc::new(Mutex::new(Vec::new()));
    let kept = Arc::clone(&seen);
    thread::spawn(move || {
        let mut prefixes = 0;
        let mut held = Vec::new();
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
            let mut seen = kept.lock().expect("no thread panicked");
            let act = script[seen.len().min(script.len() - 1)];
            seen.push(request);
            match act {
                Act::Say(status, execution) => {
                    reply(&mut stream, status, &problem(status, execution, ""));
                }
                Act::Hint(status, execution) => {
                    let hint = r#","retry_after_ms":1"#;
                    reply(&mut stream, status, &problem(status, execution, hint));
                }
                Act::Complete => reply(&mut stream, 200, r#"{"state":"complete"}"#),
                Act::Cut => drop(stream),
                Act::Silent => held.push(stream),
                Act::Gibberish => reply(&mut stream, 502, "<html>"),
            }
        }
    });
    (address, seen)
}

fn problem(status: u16, execution: &str, hint: &str) -> String {
    format!(
        r#"{{"type":"t","title":"T","status":{status},"detail":"d","execution":"{execution}"{hint}}}"#
    )
}

fn reply(stream: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).expect("the answer is written");
}

/// Reads one whole request.
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

/// Submits by `entries` with further `words`; gives the exit code and what was said.
fn submit(entries: &[SocketAddr], words: &[&str]) -> (i32, String) {
    let entries = entries.iter().map(|entry| format!("http://{entry}")).collect::<Vec<_>>();
    let entries = entries.join(",");
    let words = [&["submit", "--entry", &entries], words, &["-"]].concat();
    let ended = program::run(words, JOB);
    (ended.code, ended.output + &ended.errors)
}

fn key(request: &str) -> &str {
    let line =
        request.lines().find(|line| line.to_ascii_lowercase().starts_with("idempotency-key"));
    line.and_then(|line| line.split_once(": ")).expect("every submission has a key").1
}

#[test]
fn exit_codes_are_truthful_and_keys_kept_in_doubt() {
    use Act::{Complete, Cut, Gibberish, Hint, Say};
    // The script, the exit code, and for each submission the number of the key it came with.
    let table: [(&'static [Act], i32, &[usize]); 15] = [
        (&[Complete], 0, &[0]),
        (&[Cut, Gibberish, Complete], 0, &[0, 0, 0]),
        (&[Say(503, "unknown"), Complete], 0, &[0, 0]),
        (&[Hint(429, "not-run"), Hint(503, "not-run"), Complete], 0, &[0, 1, 2]),
        (&[Say(503, "not-run"), Complete], 0, &[0, 1]),
        (&[Cut, Say(408, "not-run"), Say(400, "not-run"), Complete], 0, &[0, 0, 0, 0]),
        (&[Cut, Hint(429, "not-run"), Complete], 0, &[0, 0, 1]),
        (&[Say(503, "unknown"), Say(410, "not-run")], 3, &[0, 0]),
        (&[Say(502, "ran")], 1, &[0]),
        (&[Say(400, "not-run")], 3, &[0]),
        (&[Say(504, "not-run")], 3, &[0]),
        (&[Say(502, "unknown")], 4, &[0]),
        (&[Say(410, "unknown")], 4, &[0]),
        (&[Cut, Say(410, "ran")], 1, &[0, 0]),
        (&[Cut, Say(504, "unknown")], 4, &[0, 0]),
    ];
    for (script, code, keys) in table {
        let (address, seen) = entry(script);
        let (found, said) = submit(&[address], &[]);
        assert_eq!(found, code, "{script:?}: {said}");
        let seen = seen.lock().expect("no thread panicked");
        let windows = seen.iter().map(|request| key(request).split('.').nth(1));
        let expected = keys.iter().map(usize::to_string).collect::<Vec<_>>();
        let expected = expected.iter().map(|window| Some(window.as_str()));
        assert!(windows.eq(expected), "{script:?}: {seen:?}");
        assert!(seen.iter().all(|request| key(request) == key(&seen[0]) || code == 0));
    }
}

#[test]
fn time_that_runs_out_is_refused_or_unknown_but_never_the_other() {
    let (busy, _) = entry(&[Act::Hint(429, "not-run")]);
    let (silent, _) = entry(&[Act::Cut, Act::Say(408, "not-run")]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed = listener.local_addr().expect("the listener is bound");
    drop(listener);
    for (entries, code) in [(&[closed][..], 3), (&[closed, busy], 3), (&[closed, silent], 4)] {
        let (found, said) = submit(entries, &["--timeout", "1s"]);
        assert_eq!(found, code, "{said}");
        assert_eq!(said.contains("--key"), code == 4, "{said}");
    }
}

#[test]
fn a_silent_entry_leaves_time_for_another() {
    let (silent, first) = entry(&[Act::Silent]);
    let (sound, second) = entry(&[Act::Complete]);
    let (code, said) = submit(&[silent, sound], &["--timeout", "2s"]);
    assert_eq!(code, 0, "{said}");
    let (first, second) = (first.lock(), second.lock());
    let [first, second] = [first, second].map(|seen| seen.expect("no thread panicked"));
    assert_eq!(key(&first[0]), key(&second[0]));
}

#[test]
fn a_key_of_the_user_is_never_replaced() {
    use Act::{Complete, Cut, Hint, Say};
    let table: [(&'static [Act], i32, usize); 3] = [
        (&[Say(503, "unknown"), Cut, Say(408, "not-run"), Complete], 0, 4),
        (&[Hint(429, "not-run")], 3, 1),
        (&[Cut, Say(503, "not-run")], 3, 2),
    ];
    for (script, code, submissions) in table {
        let (address, seen) = entry(script);
        let (found, said) = submit(&[address], &["--key", "mine-1"]);
        assert_eq!(found, code, "{script:?}: {said}");
        let seen = seen.lock().expect("no thread panicked");
        assert_eq!(seen.len(), submissions, "{script:?}");
        assert!(seen.iter().all(|request| key(request) == "mine-1"), "{script:?}: {seen:?}");
    }
}

#[test]
fn the_job_is_sent_as_it_is_written() {
    let (address, seen) = entry(&[Act::Complete]);
    let (code, said) = submit(&[address], &["--repeatable"]);
    assert_eq!((code, said.as_str()), (0, "{\"state\":\"complete\"}\n"));
    let seen = seen.lock().expect("no thread panicked");
    let (_, body) = seen[0].split_once("\r\n\r\n").expect("the request has a body");
    assert_eq!(body, r#"{"repeatable":true,"service":"holds","tasks":[{"payload":1.50}]}"#);
}
