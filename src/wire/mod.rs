//! The frames that VMs exchange: CBOR, one to a WebSocket message.

mod frame;

pub use frame::{
    Busy, Call, Error, FRAME_MAX_BYTES, Frame, Hello, Notification, Owns, Reply, Seen, VERSION,
    Versions,
};
