//! Header bytes above 127, which HTTP/1.1 allows in values and the HTTP library does not.

/// What replaces a byte above 127.
const REPLACEMENT: u8 = b'?';

/// What replaces a byte above 127 in a header that is needed: a byte that the HTTP library refuses.
const REFUSED: u8 = 0x7f;

/// The headers that are needed, in lower case. Their values are numbers, names or keys in ASCII.
const NEEDED: [&[u8]; 5] =
    [b"content-length", b"host", b"idempotency-key", b"task-id", b"transfer-encoding"];

/// The longest name of a header that is needed, in bytes.
const NAME_MAX_BYTES: usize = 17;

/// The last bytes of a head.
const CRLF_CRLF: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// Where in a message the next byte is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Position {
    /// In the empty lines that may precede the first line.
    #[default]
    Start,
    FirstLine,
    HeaderName,
    HeaderValue,
    Body,
}

/// Replaces bytes above 127 in the header lines of one message. The first line and the body stay as they are.
#[derive(Debug, Default)]
pub(super) struct Mask {
    position: Position,
    /// The last four bytes.
    last: u32,
    /// The start of the name of the current header, in lower case.
    name: Vec<u8>,
}

impl Mask {
    /// Masks the next bytes of the message.
    pub fn apply(&mut self, bytes: &mut [u8]) {
        for byte in bytes {
            match self.position {
                Position::Body => return,
                Position::HeaderName | Position::HeaderValue if !byte.is_ascii() => {
                    *byte = self.replacement();
                }
                _ => {}
            }
            self.advance(*byte);
        }
    }

    fn replacement(&self) -> u8 {
        if NEEDED.contains(&&self.name[..]) { REFUSED } else { REPLACEMENT }
    }

    fn advance(&mut self, byte: u8) {
        self.last = self.last << 8 | u32::from(byte);
        if self.last == CRLF_CRLF {
            self.position = Position::Body;
            return;
        }
        match (self.position, byte) {
            (Position::Start, b'\r' | b'\n') | (Position::Body, _) => {}
            (Position::Start, _) => self.position = Position::FirstLine,
            (_, b'\n') => {
                self.position = Position::HeaderName;
                self.name.clear();
            }
            (Position::HeaderName, b':') => self.position = Position::HeaderValue,
            (Position::HeaderName, _) if self.name.len() <= NAME_MAX_BYTES => {
                self.name.push(byte.to_ascii_lowercase());
            }
            _ => {}
        }
    }
}
