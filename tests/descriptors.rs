//! A server in a process that has run out of file descriptors. The limit holds for the whole process, so this file has
//! one test.

use std::fs::File;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::http::server::{self, Handler, Rules};
use gypsumkeel::runtime;
use http_types::{Request, Response};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use smol::Timer;
use smol::net::TcpListener;

/// Few enough descriptors to use up, and more than the process has open at the start.
const DESCRIPTORS_MAX: u64 = 64;

/// How long a condition may take to hold.
const LIMIT: Duration = Duration::from_secs(10);

/// Responds with status 200 to every request.
#[derive(Debug)]
struct Ok200;

impl Handler for Ok200 {
    fn answer(
        self: Arc<Self>,
        _request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async { Response::new(200) })
    }

    fn body_max(&self) -> u64 {
        0
    }
}

#[test]
fn a_server_without_descriptors_lets_other_tasks_run_and_serves_later() {
    runtime::start(1).unwrap();
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let rules = Rules { connections_max: 100, head_timeout: Millis(60_000) };
    let limit = Rlimit { current: Some(DESCRIPTORS_MAX), ..getrlimit(Resource::Nofile) };
    setrlimit(Resource::Nofile, limit).unwrap();
    let mut files = std::iter::from_fn(|| File::open("/dev/null").ok()).collect::<Vec<_>>();
    files.pop();
    let mut caller = TcpStream::connect(address).unwrap();
    assert!(File::open("/dev/null").is_err(), "no descriptor is left for the server");

    runtime::spawn(server::serve(listener, rules, Arc::default(), Arc::new(Ok200))).detach();
    let (sender, ticks) = mpsc::channel();
    runtime::spawn(async move {
        Timer::after(Duration::from_millis(50)).await;
        sender.send(()).unwrap();
    })
    .detach();
    ticks.recv_timeout(LIMIT).expect("another task of the same thread runs");

    drop(files);
    caller.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    caller.set_read_timeout(Some(LIMIT)).unwrap();
    let mut status = [0; 12];
    caller.read_exact(&mut status).expect("a response once descriptors are free");
    assert_eq!(&status, b"HTTP/1.1 200");
}
