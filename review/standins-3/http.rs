//! HTTP/1.1 as far as the stand-ins need it: a server with a thread a connection, and a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that has arrived whole.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, String)> + Send + Sync>;

/// How long after its start a process takes connections one after the other, and the time that each takes.
const START_TIME: Duration = Duration::from_millis(100);
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// The process behind a listening socket, which may end and start again while the socket stays, as where a service
/// manager keeps it.
#[derive(Clone, Debug, Default)]
pub struct Process {
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// When the present process begins to accept connections.
    up_at: Arc<Mutex<Option<Instant>>>,
}

impl Process {
    /// Closes the connections that are open now, and accepts no others for a while. Those wait in the socket's queue.
    pub fn restart(&self, after: Duration) {
        *self.up_at.lock().unwrap() = Some(Instant::now() + after);
        for stream in self.connections.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Takes the connections that waited for a new process one after the other, in their order, as one thread would.
    fn pace(&self) {
        let up_at = *self.up_at.lock().unwrap();
        if up_at.is_some_and(|at| at.elapsed() < START_TIME) {
            thread::sleep(ACCEPT_PAUSE);
        }
    }

    /// Waits until the process is up.
    fn wait(&self) {
        loop {
            let up_at = *self.up_at.lock().unwrap();
            let left =
                up_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()));
            if left.is_zero() {
                return;
            }
            thread::sleep(left);
        }
    }
}

/// Serves on a free loopback port.
pub fn serve(handler: Handler) -> io::Result<(SocketAddr, Process)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let process = Process::default();
    let serving = process.clone();
    thread::spawn(move || {
        // A connection waits in the socket's queue until the process is up: only then is it accepted.
        while poll_readable(&listener) {
            serving.wait();
            let Ok((stream, _)) = listener.accept() else { continue };
            let handler = Arc::clone(&handler);
            serving.connections.lock().unwrap().extend(stream.try_clone());
            thread::spawn(move || drop(serve_connection(stream, &handler)));
            serving.pace();
        }
    });
    Ok((address, process))
}

/// Waits until a connection waits to be accepted. Always true.
fn poll_readable(listener: &TcpListener) -> bool {
    #[repr(C)]
    struct PollFd {
        descriptor: i32,
        events: i16,
        returned: i16,
    }
    unsafe extern "C" {
        fn poll(descriptors: *mut PollFd, count: u64, timeout_ms: i32) -> i32;
    }
    const POLLIN: i16 = 1;
    let mut descriptor = PollFd { descriptor: listener.as_raw_fd(), events: POLLIN, returned: 0 };
    // SAFETY: one descriptor, which is open as long as the listener is borrowed.
    unsafe { poll(&raw mut descriptor, 1, -1) };
    true
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
        let request = Request { method, path: path.to_owned(), query, headers, body };
        let Some((status, body)) = handler(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

type Message = (String, Vec<(String, String)>, String);

/// Reads a message; `None` at the end of the stream.
fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.push((name.to_owned(), value.trim().to_owned())),
            None => break,
        }
    }
    let header = |name: &str| {
        let found =
            headers.iter().find(|(known, _): &&(String, String)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    };
    let mut body = Vec::new();
    if header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                break;
            }
            body.extend(&chunk[..length]);
        }
    } else {
        let length = header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// An answer as a client sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends one request on a connection of its own and waits for the answer until `timeout`, then leaves.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) =
        read_message(&mut reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::Error::from(io::ErrorKind::InvalidData))?;
    Ok(Answer { status, body })
}
