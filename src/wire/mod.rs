//! The frames that VMs exchange. Each is written as CBOR and sent as one WebSocket message.

mod frame;

pub use frame::{
    Call, Error, FRAME_MAX_BYTES, Frame, Hello, KeyStatus, Notification, Ownership, Reply,
    Utilization, VERSION, Versions,
};
