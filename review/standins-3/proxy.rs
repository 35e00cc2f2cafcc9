//! A proxy that passes one connection on, until it resets both of its ends.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Passes one connection on, until it resets both of its ends.
pub struct Proxy {
    pub address: SocketAddr,
    ends: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let ends = Arc::<Mutex<Vec<TcpStream>>>::default();
        let kept = Arc::clone(&ends);
        thread::spawn(move || {
            let Ok((client, _)) = listener.accept() else { return };
            let Ok(server) = TcpStream::connect(to) else { return };
            drop((client.set_nodelay(true), server.set_nodelay(true)));
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
                thread::spawn(move || io::copy(&mut from, &mut to));
            }
            kept.lock().unwrap().extend([client, server]);
        });
        Ok(Self { address, ends })
    }

    /// Resets the connection on both sides.
    pub fn reset(&self) {
        let ends = std::mem::take(&mut *self.ends.lock().unwrap());
        for end in &ends {
            linger_not(end);
            // Ends the threads that read from it, and with them their copies of the descriptor.
            drop(end.shutdown(Shutdown::Read));
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Makes the close of a connection a reset.
fn linger_not(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    let value = [1_i32, 0];
    // SAFETY: the descriptor is open, and the value is a `struct linger` of two integers.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, value.as_ptr(), 8) };
}
