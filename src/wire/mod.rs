//! The frames that VMs exchange: CBOR, one to a WebSocket message.

mod frame;

pub use frame::{
    Call, Error, FRAME_MAX_BYTES, Frame, Hello, Notification, Ownership, Reply, Seen, Utilization,
    VERSION, Versions,
};
