//! Client connections to a server that leaves requests without a response: what the client learns, and what it sends.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::http::{Connection, Error, Limits, Pool, Request};
use socket2::SockRef;

/// How long an expected response may take on a busy machine.
const TIMEOUT: Millis = Millis(10_000);

/// How long to wait where no response is expected.
const NO_RESPONSE_TIMEOUT: Millis = Millis(300);

/// A server that does what the path of a request says (`/second` is answered from the second time on), and keeps the paths of the requests that it has read.
struct Server {
    address: SocketAddr,
    paths: Arc<Mutex<Vec<String>>>,
}

impl Server {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let paths = Arc::<Mutex<Vec<String>>>::default();
        let known = Arc::clone(&paths);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let paths = Arc::clone(&known);
                thread::spawn(move || respond(&stream, &paths));
            }
        });
        Self { address, paths }
    }
}

/// Responds to the requests on a connection until one of them asks for its end. They have no bodies.
fn respond(stream: &TcpStream, paths: &Mutex<Vec<String>>) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    while let Some(first) = lines.next() {
        let path = first.split(' ').nth(1).unwrap().to_owned();
        lines.by_ref().find(String::is_empty);
        paths.lock().unwrap().push(path.clone());
        let times = paths.lock().unwrap().iter().filter(|known| **known == path).count();
        let mut writer = stream;
        match path.split('?').next().unwrap() {
            "/second" if times < 2 => {}
            "/answer" | "/second" => {
                writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
            }
            "/cut" => {
                writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no").unwrap();
                return;
            }
            "/reset" => {
                SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            "/close" => return,
            _ => {}
        }
    }
}

/// Guards against an ended connection being taken for a late response: only the former shows that the process at the
/// other end may have ended.
#[test]
fn an_ended_connection_is_told_from_a_late_response() {
    let server = Server::start();
    let outcome = async |path| {
        let mut connection = Connection::open(server.address, TIMEOUT).await.unwrap();
        connection.send(&Request::get("/answer", TIMEOUT)).await.unwrap();
        match connection.send(&Request::get(path, NO_RESPONSE_TIMEOUT)).await {
            Ok(response) => response.status.to_string(),
            Err(Error::Unsent(_)) => "unsent".to_owned(),
            Err(Error::Lost(_)) => "lost".to_owned(),
            Err(Error::Closed(_)) => "closed".to_owned(),
        }
    };
    let mut outcomes = Vec::new();
    for path in ["/answer", "/silence", "/close", "/cut", "/reset"] {
        outcomes.push((path, smol::block_on(outcome(path))));
    }
    insta::assert_compact_debug_snapshot!(
        outcomes,
        @r#"[("/answer", "200"), ("/silence", "lost"), ("/close", "closed"), ("/cut", "closed"), ("/reset", "closed")]"#
    );
}

fn pool(server: &Server) -> Pool {
    let limits = Limits { idle_max: 8, idle_timeout: TIMEOUT, connect_timeout: TIMEOUT };
    Pool::new(server.address, limits)
}

/// Guards against a call that waits in the listening socket of a process that has ended, and that the next process reads.
#[test]
fn a_probed_request_is_sent_only_where_a_process_has_responded() {
    let server = Server::start();
    let connections = pool(&server);
    let request = Request::get("/answer?request", TIMEOUT);
    let mut outcomes = Vec::new();
    for probe in ["/silence", "/close", "/second", "/answer?unused"] {
        let probe = Request::get(probe, NO_RESPONSE_TIMEOUT);
        let result = smol::block_on(connections.send_probed(&request, &probe));
        outcomes.push(result.map_or_else(|error| error.to_string(), |r| r.status.to_string()));
    }
    let paths = server.paths.lock().unwrap().clone();
    insta::assert_debug_snapshot!((outcomes, paths), @r#"
    (
        [
            "nothing was sent: the probe of a new connection got no response: no response within 300 ms; check the address and the network",
            "nothing was sent: the probe of a new connection got no response: connection closed; check the address and the network",
            "200",
            "200",
        ],
        [
            "/silence",
            "/silence",
            "/close",
            "/second",
            "/second",
            "/answer?request",
            "/answer?request",
        ],
    )
    "#);
}
