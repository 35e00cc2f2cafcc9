//! Generated inputs for property tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// The number of cases per property. Their seeds are fixed, so every run checks the same cases.
const CASES: u64 = 3000;

/// The environment variable with the number of cases of a longer run.
const CASES_VARIABLE: &str = "GYPSUMKEEL_CASES";

/// The maximum size of the input that a case is generated from, in bytes.
const SIZE_MAX: u64 = 400;

/// The seed of the current case, printed if the case fails.
struct Seed(u64);

impl Drop for Seed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with seed {:#018x}", self.0);
        }
    }
}

/// Checks a property with [`CASES`] fixed seeds, or with as many as [`CASES_VARIABLE`] says.
pub fn check_all(property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    check(CASES, property);
}

/// As [`check_all`] with fewer cases, for a property whose cases take long.
pub fn check_some(property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    check(CASES / 10, property);
}

/// The low 32 bits of a seed are the size of its input in bytes.
fn check(cases: u64, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    let cases = std::env::var(CASES_VARIABLE).map_or(cases, |text| text.parse().expect("a number"));
    for case in 1..=cases {
        let seed = Seed((case.wrapping_mul(0x9e37_79b9) << 32) | (1 + case % SIZE_MAX));
        arbtest(&mut property).seed(seed.0).run();
    }
}

/// Changes a text at some places: other characters, missing or doubled parts, large numbers, deep nesting.
pub fn mangle(u: &mut Unstructured<'_>, text: &str) -> Result<Vec<u8>> {
    const NUMBERS: [&str; 8] = [
        "18446744073709551615",
        "18446744073709551616",
        "9007199254740993",
        "-1",
        "1e999",
        "0.5",
        "4294967296",
        "99999",
    ];
    const DEPTHS: [usize; 3] = [10, 200, 20_000];
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..u.int_in_range(1..=4)? {
        let at = u.choose_index(bytes.len())?;
        match u.int_in_range(0..=6)? {
            0 => bytes[at] = u.arbitrary()?,
            1 => bytes.truncate(at.max(1)),
            2 => bytes.insert(at, u.arbitrary()?),
            3 => {
                let number = u.choose(&NUMBERS)?;
                replace_number(&mut bytes, at, number);
            }
            4 => {
                let depth = *u.choose(&DEPTHS)?;
                bytes.splice(at..at, b"[".repeat(depth));
            }
            5 => {
                let part = bytes[at..].to_vec();
                bytes.extend(part);
            }
            _ => {
                let end = (at + 1 + u.choose_index(8)?).min(bytes.len());
                bytes.splice(at..end, []);
            }
        }
        if bytes.is_empty() {
            bytes.push(b' ');
        }
    }
    Ok(bytes)
}

/// Replaces the first number at or after `at`.
fn replace_number(bytes: &mut Vec<u8>, at: usize, number: &str) {
    let Some(start) = bytes[at..].iter().position(u8::is_ascii_digit) else { return };
    let start = at + start;
    let length = bytes[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    bytes.splice(start..start + length, number.bytes());
}

/// Bytes 0 to 255, up to `max` of them, or a character beyond ASCII in UTF-8.
pub fn any_bytes(u: &mut Unstructured<'_>, max: usize) -> Result<Vec<u8>> {
    if u.ratio(1, 4)? {
        return Ok(u.choose(&["\u{fa}", "\u{20ac}", "\u{1f3ee}"])?.as_bytes().to_vec());
    }
    let length = u.int_in_range(0..=max)?;
    (0..length).map(|_| u.arbitrary()).collect()
}

/// A message of HTTP/1.1 in parts.
pub type Parts<'a> = &'a [&'a str];

/// A request with a body of a declared length.
pub const SIZED_REQUEST: Parts<'static> = &[
    "POST",
    " ",
    "/holds/0000000000000009",
    " ",
    "HTTP/1.1",
    "\r\n",
    "Host",
    ": ",
    "desk.example",
    "\r\n",
    "Deadline-Ms",
    ": ",
    "200",
    "\r\n",
    "Content-Length",
    ": ",
    "2",
    "\r\n",
    "Expect",
    ":",
    "",
    "\r\n",
    "\r\n",
    "{}",
];

/// A request with a body in chunks, and trailers.
pub const CHUNKED_REQUEST: Parts<'static> = &[
    "POST",
    " ",
    "/holds/0000000000000009",
    " ",
    "HTTP/1.1",
    "\r\n",
    "Host",
    ": ",
    "desk.example",
    "\r\n",
    "Transfer-Encoding",
    ": ",
    "chunked",
    "\r\n",
    "\r\n",
    "2",
    "",
    "\r\n",
    "{}",
    "\r\n",
    "0",
    "\r\n",
    "Digest",
    ": ",
    "none",
    "\r\n",
    "\r\n",
];

/// The start of a link between VMs.
pub const HANDSHAKE: Parts<'static> = &[
    "GET",
    " ",
    "/",
    " ",
    "HTTP/1.1",
    "\r\n",
    "Host",
    ": ",
    "127.0.0.1",
    "\r\n",
    "Upgrade",
    ": ",
    "websocket",
    "\r\n",
    "Connection",
    ": ",
    "Upgrade",
    "\r\n",
    "Sec-WebSocket-Key",
    ": ",
    "dGhlIHNhbXBsZSBub25jZQ==",
    "\r\n",
    "Sec-WebSocket-Version",
    ": ",
    "13",
    "\r\n",
    "\r\n",
    "\u{2}\u{0}",
];

/// A response with a body of a declared length.
pub const SIZED_RESPONSE: Parts<'static> = &[
    "HTTP/1.1",
    " ",
    "200",
    " ",
    "OK",
    "\r\n",
    "Date",
    ": ",
    "none",
    "\r\n",
    "Content-Length",
    ": ",
    "2",
    "\r\n",
    "X-Consul-Index",
    ": ",
    "7",
    "\r\n",
    "\r\n",
    "{}",
];

/// A response with a body in chunks, and trailers.
pub const CHUNKED_RESPONSE: Parts<'static> = &[
    "HTTP/1.1",
    " ",
    "200",
    " ",
    "OK",
    "\r\n",
    "Transfer-Encoding",
    ": ",
    "chunked",
    "\r\n",
    "\r\n",
    "2",
    "",
    "\r\n",
    "{}",
    "\r\n",
    "0",
    "\r\n",
    "Digest",
    ": ",
    "none",
    "\r\n",
    "\r\n",
];

/// The message with any bytes 0 to 255 in place of, or within, one or two parts.
pub fn spoil(u: &mut Unstructured<'_>, message: Parts<'_>) -> Result<Vec<u8>> {
    let mut parts = message.iter().map(|part| part.as_bytes().to_vec()).collect::<Vec<_>>();
    for _ in 0..u.int_in_range(1..=2)? {
        let index = u.choose_index(parts.len())?;
        let part = &mut parts[index];
        let at = u.int_in_range(0..=part.len())?;
        let end = if u.ratio(1, 2)? { at } else { part.len() };
        let bytes = any_bytes(u, 6)?;
        part.splice(at..end, bytes);
    }
    Ok(parts.concat())
}

/// The message without what follows each of its bytes.
pub fn truncations(message: Parts<'_>) -> impl Iterator<Item = Vec<u8>> {
    let whole = message.concat().into_bytes();
    (0..whole.len()).map(move |length| whole[..length].to_vec())
}

/// Sends bytes to a service, and reads what it responds within `wait`, at most one buffer.
pub fn exchange(address: SocketAddr, bytes: &[u8], is_cut: bool, wait: Duration) -> Vec<u8> {
    let Ok(mut stream) = TcpStream::connect(address) else { return Vec::new() };
    stream.set_read_timeout(Some(wait)).expect("the timeout can be set");
    drop(stream.write_all(bytes));
    if is_cut {
        drop(stream.shutdown(Shutdown::Write));
    }
    let mut response = [0; 512];
    let length = stream.read(&mut response).unwrap_or(0);
    response[..length].to_vec()
}
