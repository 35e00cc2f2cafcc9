//! Client connections to a server that leaves requests without a response: what the client learns.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use gypsumkeel::clock::Millis;
use gypsumkeel::http::{Connection, Error, Request};
use socket2::SockRef;

/// How long an expected response may take on a busy machine.
const TIMEOUT: Millis = Millis(10_000);

/// How long to wait where no response is expected.
const NO_RESPONSE_TIMEOUT: Millis = Millis(300);

/// Starts a server that does what the path of a request says.
fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || respond(&stream));
        }
    });
    address
}

/// Responds to the requests on a connection until one of them asks for its end. They have no bodies.
fn respond(stream: &TcpStream) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    while let Some(first) = lines.next() {
        let path = first.split(' ').nth(1).unwrap().to_owned();
        lines.by_ref().find(String::is_empty);
        let mut writer = stream;
        match path.as_str() {
            "/answer" => {
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
    let server = serve();
    let outcome = async |path| {
        let mut connection = Connection::open(server, TIMEOUT).await.unwrap();
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
