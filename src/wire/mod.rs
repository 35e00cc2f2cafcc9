//! The frames that VMs exchange: CBOR, one to a WebSocket message.

mod frame;

pub use frame::{
    Call, Error, FRAME_MAX_BYTES, Frame, Hello, KeyStatus, Notification, Ownership, Reply,
    Utilization, VERSION, Versions,
};
