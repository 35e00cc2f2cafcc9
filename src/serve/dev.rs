//! The development mode: one VM, a store in memory and echo targets, all in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;

use http_types::{Request, Response, StatusCode};

use crate::clock::{Clock, Millis};
use crate::config::{Document, Holder, Service, Snapshot, Target};
use crate::event;
use crate::http::server;
use crate::invariant;
use crate::runtime;
use crate::settings::Settings;
use crate::store::Memory;

use super::start::{Error, listen, start};
use super::stop;

/// The largest request body that an echo target accepts, in bytes.
const ECHO_BODY_MAX_BYTES: u64 = 4 << 20;

/// Runs a VM with a store in memory and `targets` echo targets, at least one, until it is stopped.
pub fn dev(targets: usize) -> Result<(), Error> {
    invariant::exit_on_panic();
    let settings = Settings::for_dev();
    runtime::start(settings.threads)?;
    smol::block_on(async {
        let document = dev_document(&settings.domain, targets).await?;
        let store = Arc::new(Memory::new(Clock::start()));
        let holder = Holder::new(Snapshot::of_document(document));
        let signals = stop::signals()?;
        let node = start(settings, store, holder).await?;
        stop::run(&node, signals).await;
        Ok(())
    })
}

/// Starts the echo targets. Returns a configuration with them and one service.
async fn dev_document(domain: &str, targets: usize) -> Result<Document, Error> {
    let mut document = Document::default();
    for number in 0..targets.max(1) {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        document.targets.push(Target {
            id: format!("echo-{number}"),
            domain: domain.to_owned(),
            rack: String::new(),
            address: listener.local_addr()?,
            slots: 8,
            connections: 60,
            leaving: false,
        });
        let rules = server::Rules { connections_max: 60, head_timeout: Millis::from_secs(60) };
        let echo = Arc::new(Echo { clock: Clock::start() });
        runtime::spawn(server::serve(listener, rules, Arc::default(), echo)).detach();
    }
    document.services.push(Service {
        name: "echo".to_owned(),
        targets: Vec::new(),
        timeout: Millis::from_secs(10),
        run_max: Millis::from_secs(10),
        spare_share: 0.0,
    });
    Ok(document)
}

/// A target that responds to a task with its payload.
#[derive(Debug)]
struct Echo {
    clock: Clock,
}

impl server::Handler for Echo {
    fn answer(
        self: Arc<Self>,
        mut request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            let mut response = Response::new(StatusCode::Ok);
            let body = request.body_string().await.unwrap_or_default();
            if let Some(id) = request.header("Task-Id") {
                response.insert_header("Task-Id", id.last().as_str());
            }
            event!(trace, "echo", at = self.clock.now());
            response.set_body(body);
            response
        })
    }

    fn body_max(&self) -> u64 {
        ECHO_BODY_MAX_BYTES
    }
}
