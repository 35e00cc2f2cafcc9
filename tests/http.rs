//! Callers that send invalid, oversized or slow requests get an error response, and other callers are still served.

#[path = "cases/mod.rs"]
mod cases;
mod testenv;

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use cases::{CHUNKED_REQUEST, SIZED_REQUEST, check_some, exchange, spoil, truncations};
use serde_json::json;
use testenv::{Env, Job, Setup, wait_until};

const LIMIT: Duration = Duration::from_secs(20);
const BODY_MAX: usize = 4096;
const TASKS_MAX: usize = 10;
const CONNECTIONS_MAX: usize = 8;

/// Starts a VM with low limits.
fn start() -> Env {
    start_with("1s")
}

fn start_with(head_timeout: &str) -> Env {
    Env::start(&Setup {
        domains: &["a"],
        limits: json!({ "body_max": BODY_MAX, "tasks_max": TASKS_MAX }),
        settings: json!({ "callers": {
            "connections_max": CONNECTIONS_MAX, "head_timeout": head_timeout, "body_timeout": "500ms",
        } }),
        ..Setup::default()
    })
}

/// Checks that the VM still serves a job.
fn check_is_served(env: &Env) {
    let job = Job::new("after", 2, 1);
    let reply = smol::block_on(async {
        let key = format!("{}.after", env.keys(0).await);
        env.caller(0).submit(&key, &job).await.expect("a response")
    });
    assert!(reply.is_whole(&job.ids), "{reply:?}");
}

/// Opens a connection and sends `bytes`.
fn send(entry: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(entry).expect("the VM listens");
    stream.set_read_timeout(Some(LIMIT)).expect("the timeout can be set");
    // The VM may close the connection before all bytes are sent, if it refuses the request early.
    drop(stream.write_all(bytes));
    stream
}

/// Reads the response until the VM closes the connection.
fn response(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // Sent bytes that the VM has not read may reset the connection after the response.
    drop(stream.read_to_end(&mut text));
    String::from_utf8(text).expect("a response is text")
}

/// A submission that declares a body of `length` bytes and asks to close the connection. `body` may be shorter.
fn post(key: &str, length: usize, body: &str) -> Vec<u8> {
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: {key}\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

#[test]
fn invalid_requests_get_a_problem_document() {
    let env = start();
    let prefix = smol::block_on(env.keys(0));
    let key = |own: &str| format!("{prefix}.{own}");
    let whole = |own: &str, body: &str| post(&key(own), body.len(), body);
    let large = format!("\"{}\"", "x".repeat(BODY_MAX));
    let tasks = vec![json!({ "payload": 1 }); TASKS_MAX + 1];
    let many = json!({ "service": "holds", "tasks": tasks }).to_string();
    let job = r#"{"service":"holds","tasks":[{"payload":1}]}"#;
    let deep = format!("{}{}", "[".repeat(2000), "]".repeat(2000));
    let deep = format!(r#"{{"service":"none","tasks":[{{"payload":{deep}}}]}}"#);
    let long_head = format!("GET /healthz HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(200 << 10));
    let table: [(&str, Vec<u8>, u16); 18] = [
        ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec(), 400),
        ("no version", b"GET /healthz\r\n\r\n".to_vec(), 400),
        ("a long head", long_head.into_bytes(), 400),
        ("a length that is not a number", post(&key("a"), 1, "").replace_length("x"), 400),
        ("no JSON", whole("b", "{"), 400),
        ("another type", whole("c", "[]"), 400),
        ("no tasks", whole("d", r#"{"service":"holds","tasks":[]}"#), 400),
        ("no such service", whole("e", &job.replace("holds", "none")), 400),
        ("deep JSON", whole("l", &deep), 400),
        ("a timeout of zero", whole("f", &job.replace("}]", "}],\"timeout_ms\":0")), 400),
        ("many tasks", whole("g", &many), 400),
        ("a large body", whole("h", &large), 413),
        ("a larger one", post(&key("i"), 1 << 40, job), 413),
        ("no key", post("", job.len(), job).without("Idempotency-Key: \r\n"), 400),
        ("a key with spaces", post("a key", job.len(), job), 400),
        ("a slow body", post(&key("j"), job.len() + 1, job), 408),
        ("no such path", b"GET /v2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_vec(), 404),
        (
            "another method",
            b"PUT /v1/jobs HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_vec(),
            405,
        ),
    ];
    for (name, bytes, status) in table {
        let start = Instant::now();
        let text = response(send(env.caller(0).entry, &bytes));
        assert!(start.elapsed() < LIMIT, "{name}: the connection stayed open");
        assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {text:?}");
        assert!(text.contains("application/problem+json"), "{name}: {text:?}");
        assert!(text.contains(r#""execution":""#), "{name}: {text:?}");
    }
    check_is_served(&env);
}

trait Edit {
    fn replace_length(self, length: &str) -> Self;
    fn without(self, line: &str) -> Self;
}

impl Edit for Vec<u8> {
    fn replace_length(self, length: &str) -> Self {
        let text = String::from_utf8(self).expect("a request is text");
        text.replace("Content-Length: 1", &format!("Content-Length: {length}")).into_bytes()
    }

    fn without(self, line: &str) -> Self {
        String::from_utf8(self).expect("a request is text").replace(line, "").into_bytes()
    }
}

#[test]
fn a_truncated_job_is_never_started() {
    let env = start();
    let prefix = smol::block_on(env.keys(0));
    let job = Job::new("cut", 3, 1);
    let body = job.body.to_string();
    let bytes = post(&format!("{prefix}.cut"), body.len(), &body);
    for length in [1, 20, bytes.len() - body.len(), bytes.len() - 1] {
        let stream = send(env.caller(0).entry, &bytes[..length]);
        stream.shutdown(Shutdown::Write).expect("the connection is open");
        let text = response(stream);
        assert!(!text.starts_with("HTTP/1.1 200"), "{length}: {text:?}");
    }
    check_is_served(&env);
    assert!(job.ids.iter().all(|id| env.ledger.starts(id) == 0));
}

#[test]
fn connections_over_the_limit_and_slow_heads_are_refused() {
    let env = start_with("5s");
    let entry = env.caller(0).entry;
    let refused = || {
        let text = response(send(entry, b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n"));
        assert!(text.starts_with("HTTP/1.1 "), "every caller gets a response: {text:?}");
        text.starts_with("HTTP/1.1 503 ") && text.contains(r#""execution":"unknown""#)
    };
    let mut slow = Vec::new();
    wait_until("a further connection is refused", LIMIT, || {
        slow.push(send(entry, b"GET /healthz HT"));
        refused()
    });
    assert!((0..50).all(|_| refused()));
    assert!(slow.into_iter().all(|stream| !response(stream).starts_with("HTTP/1.1 200")));
    check_is_served(&env);
}

#[test]
fn a_header_with_any_bytes_ends_no_vm() {
    let env = start();
    for name in ["Hotel N\u{fa}\u{f1}ez".as_bytes(), b"Hotel N\xfa\xf1ez"] {
        let head = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\nUser-Agent: ";
        let text = response(send(env.caller(0).entry, &[head, name, b"\r\n\r\n"].concat()));
        assert!(text.starts_with("HTTP/1.1 200 "), "{text:?}");
    }
    let job = r#"{"service":"holds","tasks":[{"payload":1}]}"#;
    let key = format!("{}.N\u{fa}\u{f1}ez", smol::block_on(env.keys(0)));
    let text = response(send(env.caller(0).entry, &post(&key, job.len(), job)));
    assert!(text.starts_with("HTTP/1.1 400 "), "{text:?}");
    check_is_served(&env);
}

#[test]
fn any_bytes_of_a_request_end_no_vm() {
    const WAIT: Duration = Duration::from_millis(20);
    let env = Env::start(&Setup { domains: &["a"], ..Setup::default() });
    let entry = env.caller(0).entry;
    for request in [SIZED_REQUEST, CHUNKED_REQUEST].into_iter().flat_map(truncations) {
        exchange(entry, &request, true, WAIT);
    }
    check_some(|u| {
        let request = *u.choose(&[SIZED_REQUEST, CHUNKED_REQUEST])?;
        exchange(entry, &spoil(u, request)?, false, WAIT);
        Ok(())
    });
    check_is_served(&env);
}
