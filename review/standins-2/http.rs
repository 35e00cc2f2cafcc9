//! HTTP/1.1 over TCP, as far as the stand-ins need it: a server with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as a server reads it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    /// The path with its query.
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// A header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(known, _)| *known == name).map(|(_, value)| decode(value)).next()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A status and a JSON body.
pub type Response = (u16, String);

/// Responds to requests; `None` gives no response and leaves the connection open.
pub type Handler = dyn Fn(&Request) -> Option<Response> + Send + Sync;

/// Serves on a free port of 127.0.0.1 until the process ends.
pub fn serve(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().filter_map(Result::ok) {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Arc<Handler>) {
    drop(stream.set_nodelay(true));
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else {
            // Wait until the client gives up.
            drop(io::copy(&mut reader, &mut io::sink()));
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, target, headers, body }))
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
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
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some((first.trim_end().to_owned(), headers)))
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<String> {
    let named = |name: &str| headers.iter().find(|(known, _)| known == name);
    let mut body = Vec::new();
    if named("transfer-encoding").is_some_and(|(_, value)| value == "chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some((_, length)) = named("content-length") {
        body.resize(length.parse().map_err(io::Error::other)?, 0);
        reader.read_exact(&mut body)?;
    }
    String::from_utf8(body).map_err(io::Error::other)
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub host: String,
    /// How long the client waits for the response, as it says in `Deadline-Ms` if `tells_deadline`.
    pub patience: Duration,
    pub tells_deadline: bool,
    pub body: String,
}

/// The response to a client.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<u64>,
}

/// Sends a request on a connection of its own. The error says why there is no response; the connection is closed then.
pub fn call(address: SocketAddr, call: &Call) -> Result<Reply, String> {
    let failed = |error: io::Error| error.to_string();
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(2)).map_err(failed)?;
    drop(stream.set_nodelay(true));
    stream.set_read_timeout(Some(call.patience)).map_err(failed)?;
    let deadline = match call.tells_deadline {
        true => format!("Deadline-Ms: {}\r\n", call.patience.as_millis()),
        false => String::new(),
    };
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\n{deadline}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
        call.method,
        call.path,
        call.host,
        call.body.len(),
        call.body
    );
    stream.write_all(request.as_bytes()).map_err(failed)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).map_err(failed)?;
    let (first, headers) = head.ok_or("the connection was closed")?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let body = read_body(&mut reader, &headers).map_err(failed)?;
    let retry_after = headers.iter().find(|(name, _)| name == "retry-after");
    let retry_after = retry_after.and_then(|(_, value)| value.parse().ok());
    Ok(Reply { status: status.ok_or("no status")?, body, retry_after })
}
