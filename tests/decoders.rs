//! Property tests of what decodes input from outside: malformed and extreme input is decoded or refused, and never ends
//! the process, hangs or hides what is sound beside it.

#[path = "cases/mod.rs"]
mod cases;
#[path = "platform/mod.rs"]
mod platform;

use std::collections::BTreeSet;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use async_tungstenite::client_async;
use async_tungstenite::tungstenite::Message;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use cases::{
    CHUNKED_REQUEST, CHUNKED_RESPONSE, HANDSHAKE, SIZED_REQUEST, SIZED_RESPONSE, any_bytes,
    check_all, check_some, exchange, mangle, spoil, truncations,
};
use futures_util::StreamExt as _;
use gypsumkeel::batch::Terms;
use gypsumkeel::clock::Millis;
use gypsumkeel::http::server::Handler;
use gypsumkeel::http::{Connection, Request as Get};
use gypsumkeel::platform::{JobError, Kv, Platform, decode_job};
use gypsumkeel::route::Route;
use gypsumkeel::schedule::{Action, Engine, Event, Reply, Rules};
use gypsumkeel::store::{Consul, Entry, Store};
use gypsumkeel::vm::{Adapter as _, Site};
use gypsumkeel::wire::Frame;
use http_types::{Request, Response};
use serde_json::{Value, json};

const WORKER: &str = r#"{"service":"desk","addr":"127.0.0.1:7101","zone":"a","version":"v1","slots":8,
    "state":"ready","coldLeftMs":0,"room":{"cpu":16000,"memMb":32000,"gpu":0},"labels":["kind","r1"],
    "born":1700000000000,"seq":1}"#;

const REPORT: &str = r#"{"clockMs":482113,"born":1700000000000,
    "running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,7000]],
    "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}"#;

const JOB: &str = r#"{"spec":"text","bestEffort":true,"steps":[
    {"count":4,"cpu":500,"memMb":256,"estMs":900,"affinity":"r1"},
    {"count":20,"cpu":2000,"memMb":1024,"estMs":7000,"after":[0],"maxPerServer":2}]}"#;

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"holds","host":"desk.example",
    "prefix":"/holds/","timeoutMs":5000,"sloMs":500,"priority":0,"service":"desk","attempts":3,
    "stretch":2.0}],"limits":{"maxBodyBytes":262144}}"#;

/// Responds with the same body to every request.
#[derive(Debug, Default)]
struct Fixed {
    body: Mutex<Vec<u8>>,
}

impl Handler for Fixed {
    fn answer(
        self: Arc<Self>,
        _request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        let mut response = Response::new(200);
        response.set_body(self.body.lock().unwrap().clone());
        Box::pin(async move { response })
    }

    fn body_max(&self) -> u64 {
        1 << 20
    }
}

fn entry(key: &str, value: &[u8]) -> Entry {
    Entry { key: key.to_owned(), value: value.to_vec(), index: 1 }
}

fn site() -> Site {
    let site = Platform.decode_target(&entry("servers/w-1", WORKER.as_bytes()));
    site.expect("the sample names a worker")
}

#[test]
fn any_entry_names_a_usable_worker_or_none() {
    check_all(|u| {
        let key = match u.int_in_range(0..=3)? {
            0 => String::from_utf8_lossy(&mangle(u, "servers/w-1")?).into_owned(),
            _ => "servers/w-1".to_owned(),
        };
        let Some(site) = Platform.decode_target(&entry(&key, &mangle(u, WORKER)?)) else {
            return Ok(());
        };
        let id = &site.listing.id;
        assert_eq!(key, format!("servers/{id}"));
        assert!(id.bytes().all(|byte| byte.is_ascii_graphic()), "{id:?}");
        assert_ne!(site.address.port(), 0);
        Ok(())
    });
}

/// What a worker reports is decoded by its client, then handled by the scheduler.
#[test]
fn any_report_of_a_worker_is_borne() {
    let api = Arc::<Fixed>::default();
    let address = platform::serve(Arc::clone(&api) as Arc<dyn Handler>);
    let client = Platform.client(&Site { address, ..site() });
    check_some(|u| {
        *api.body.lock().unwrap() = mangle(u, REPORT)?;
        let mut engine = engine();
        let mut actions = Vec::new();
        let acquire = Event::Acquire { target: Arc::from("w-1"), round: 0 };
        engine.handle(Millis(1), acquire, &mut actions);
        for now in 2..6 {
            let calls = std::mem::take(&mut actions);
            for (call, action) in
                calls.into_iter().filter_map(|action| Some((id(&action)?, action)))
            {
                let reply = smol::block_on(Arc::clone(&client).call(action));
                engine.handle(Millis(now * 100), Event::Reply { call, reply }, &mut actions);
            }
            engine.handle(Millis(now * 100), Event::Tick, &mut actions);
        }
        engine.load(Millis(600));
        engine.capacity(Millis(600));
        Ok(())
    });
}

/// The id of the call that an action asks for.
fn id(action: &Action) -> Option<u64> {
    match action {
        Action::Start { call, .. } | Action::Stop { call, .. } | Action::Poll { call, .. } => {
            Some(*call)
        }
        _ => None,
    }
}

/// An engine that knows one target.
fn engine() -> Engine {
    let rules = Rules { lease_max: Millis(1000), far_factor: 2.0, unlisted_max: Millis(2500) };
    let mut engine = Engine::new(1, rules);
    engine.handle(Millis::ZERO, Event::Targets(vec![site().listing]), &mut Vec::new());
    engine
}

fn route() -> Route {
    Route {
        name: Arc::from("holds"),
        host: "desk.example".to_owned(),
        prefix: "/holds/".to_owned(),
        service: Arc::from("desk"),
        terms: Terms { priority: 0, attempts: 3, stretch: 2.0, allowance: Millis(500) },
        timeout: Millis(5000),
    }
}

#[test]
fn any_job_is_decoded_and_scheduled_or_refused() {
    check_all(|u| {
        let spec = match decode_job("5c0e7a21d94b36f8", &route(), &mangle(u, JOB)?) {
            Ok(spec) => Arc::new(spec),
            Err(error @ (JobError::Unreadable(_) | JobError::Invalid(_))) => {
                assert!(error.to_string().contains(';'), "no remedy in {error}");
                return Ok(());
            }
            Err(JobError::Unsupported(_)) => return Ok(()),
        };
        let mut engine = engine();
        let mut actions = Vec::new();
        let acquire = Event::Acquire { target: Arc::from("w-1"), round: 0 };
        engine.handle(Millis(1), acquire, &mut actions);
        let call = actions.iter().find_map(id).expect("a poll");
        let snapshot = gypsumkeel::schedule::Snapshot {
            clock: Millis(482_113),
            incarnation: Some(1_700_000_000_000),
            running: Vec::new(),
            completions: Vec::new(),
        };
        let reply = Reply::Polled(snapshot);
        engine.handle(Millis(2), Event::Reply { call, reply }, &mut actions);
        for batch in 1..=3 {
            let submit = Event::Submit {
                batch,
                spec: Arc::clone(&spec),
                age: Millis(u.arbitrary()?),
                time_left: Millis(u.arbitrary()?),
            };
            engine.handle(Millis(3), submit, &mut actions);
        }
        engine.handle(Millis(60), Event::Tick, &mut actions);
        engine.load(Millis(60));
        Ok(())
    });
}

#[test]
fn any_configuration_is_decoded_or_refused() {
    check_all(|u| {
        let text = mangle(u, CONFIGURATION)?;
        if let Ok(table) = Platform.decode_routes(&text) {
            assert!(table.len() <= 1 || text.len() > CONFIGURATION.len(), "{table:?}");
        }
        Ok(())
    });
}

/// An item of the store with another value for one field.
fn odd_item(u: &mut Unstructured<'_>, key: &str) -> Result<Value> {
    let mut item = json!({ "key": key, "value": "", "rev": 3, "createdRev": 3, "lease": 0 });
    let field = *u.choose(&["key", "value", "rev", "removed"])?;
    let values = [json!(null), json!(-1), json!(1e300), json!("***"), json!([[[]]]), json!({})];
    item[field] = u.choose(&values)?.clone();
    Ok(item)
}

#[test]
fn sound_items_of_the_store_are_read_beside_odd_ones() {
    let api = Arc::<Fixed>::default();
    let address = platform::serve(Arc::clone(&api) as Arc<dyn Handler>);
    check_some(|u| {
        let mut items = Vec::new();
        let mut sound = BTreeSet::new();
        for index in 0..u.int_in_range(1..=8)? {
            let key = format!("servers/{index}");
            if u.ratio(1, 2)? {
                items.push(odd_item(u, &format!("servers/odd-{index}"))?);
            } else {
                let value = STANDARD.encode(WORKER);
                items.push(json!({ "key": key, "value": value, "rev": 2, "lease": 0 }));
                sound.insert(key);
            }
        }
        let body = |list: &str| json!({ list: items, "truncated": false, "asOf": 9 }).to_string();
        *api.body.lock().unwrap() = body("items").into_bytes();
        let kv = Kv::new(address);
        let read = smol::block_on(kv.list("servers/", 0, Millis::ZERO)).expect("a list");
        let keys = read.value.iter().map(|entry| entry.key.clone()).collect::<BTreeSet<_>>();
        assert!(keys.is_superset(&sound), "{keys:?} lacks some of {sound:?}");
        *api.body.lock().unwrap() = body("events").into_bytes();
        let read = smol::block_on(kv.list("servers/", 9, Millis(1))).expect("changes");
        let keys = read.value.iter().map(|entry| entry.key.clone()).collect::<BTreeSet<_>>();
        assert!(keys.is_superset(&sound), "{keys:?} lacks some of {sound:?}");
        // The text as a whole may be broken too: an error, no end.
        *api.body.lock().unwrap() = mangle(u, &body("events"))?;
        drop(smol::block_on(kv.list("servers/", 9, Millis(1))));
        Ok(())
    });
}

/// How long a test waits for the response to a request that may get none.
const WAIT: Duration = Duration::from_millis(20);

#[test]
fn any_bytes_of_a_request_end_no_vm() {
    let env = platform::Env::start(1, 1);
    let ports = [(8161, SIZED_REQUEST), (8161, CHUNKED_REQUEST), (8167, CHUNKED_REQUEST)];
    let more = [(9100, SIZED_REQUEST), (9100, CHUNKED_REQUEST), (8166, HANDSHAKE)];
    let messages = [ports, more].concat();
    let address = |port| SocketAddr::new(env.vms[0].ip, port);
    for (port, message) in &messages {
        for request in truncations(message) {
            exchange(address(*port), &request, true, WAIT);
        }
        assert_eq!(env.vms[0].exit_status(), None, "after port {port}");
    }
    check_some(|u| {
        let (port, message) = *u.choose(&messages)?;
        let request = spoil(u, message)?;
        exchange(address(port), &request, false, WAIT);
        let shown = String::from_utf8_lossy(&request);
        assert_eq!(env.vms[0].exit_status(), None, "after port {port}: {shown:?}");
        Ok(())
    });
    let reply = env.submit(0, 1, 2, 20).expect("a response");
    assert_eq!((reply.status, &*reply.state), (200, "done"));
}

/// A service that responds to each request with the same bytes, whatever they are.
struct Raw {
    address: SocketAddr,
    response: Arc<Mutex<Vec<u8>>>,
}

impl Raw {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a fake service");
        let address = listener.local_addr().expect("an address");
        let response = Arc::<Mutex<Vec<u8>>>::default();
        let bytes = Arc::clone(&response);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                drop(stream.read(&mut [0; 4096]));
                drop(stream.write_all(&bytes.lock().unwrap()));
            }
        });
        Self { address, response }
    }

    fn respond_with(&self, bytes: Vec<u8>) {
        *self.response.lock().unwrap() = bytes;
    }

    /// Makes the calls of all clients. Each gets a reply or an error.
    fn call(&self) {
        const TIMEOUT: Millis = Millis(20);
        smol::block_on(async {
            let mut connection = Connection::open(self.address, TIMEOUT).await.expect("a service");
            drop(connection.send(&Get::get("/", TIMEOUT)).await);
            let store: [Arc<dyn Store>; 2] =
                [Arc::new(Kv::new(self.address)), Arc::new(Consul::new(self.address, TIMEOUT))];
            for store in store {
                drop(store.list("servers/", 9, TIMEOUT).await);
            }
            let client = Platform.client(&Site { address: self.address, ..site() });
            let mut actions = Vec::new();
            let acquire = Event::Acquire { target: Arc::from("w-1"), round: 0 };
            engine().handle(Millis(1), acquire, &mut actions);
            for action in actions.into_iter().filter(|action| id(action).is_some()) {
                client.clone().call(action).await;
            }
        });
    }
}

#[test]
fn any_bytes_of_a_response_end_no_caller() {
    let service = Raw::start();
    for response in [SIZED_RESPONSE, CHUNKED_RESPONSE].into_iter().flat_map(truncations) {
        service.respond_with(response);
        service.call();
    }
    check_some(|u| {
        let response = *u.choose(&[SIZED_RESPONSE, CHUNKED_RESPONSE])?;
        service.respond_with(spoil(u, response)?);
        service.call();
        Ok(())
    });
}

#[test]
fn a_response_whose_header_has_any_bytes_is_read() {
    let service = Raw::start();
    let server = "HTTP/1.1 200 OK\r\nServer: N\u{fa}\u{f1}ez\r\nContent-Length: 2\r\n\r\n\u{fa}";
    service.respond_with(server.as_bytes().to_vec());
    let response = smol::block_on(async {
        let mut connection = Connection::open(service.address, Millis(5000)).await.unwrap();
        connection.send(&Get::get("/", Millis(5000))).await
    });
    let response = response.expect("a response");
    assert_eq!((response.status, &*response.body), (200, "\u{fa}".as_bytes()));
    assert_eq!(response.header("Server"), Some("N????ez"));
}

#[test]
fn any_bytes_are_a_frame_or_refused() {
    let hello = json!({ "Hello": { "version": 1, "vm": "x", "domain": "a",
        "incarnation": "AAAAAAAAAAAAAAAAAAAAAQ", "peers": { "V4": [[127, 0, 0, 1], 7200] } } });
    let mut sound = Vec::new();
    ciborium::into_writer(&hello, &mut sound).unwrap();
    Frame::decode(&sound).expect("a frame");
    for length in 0..sound.len() {
        Frame::decode(&sound[..length]).expect_err("no whole frame");
    }
    check_all(|u| {
        let mut bytes = sound.clone();
        let at = u.choose_index(bytes.len())?;
        let end = u.int_in_range(at..=bytes.len())?;
        bytes.splice(at..end, any_bytes(u, 12)?);
        drop(Frame::decode(&bytes));
        drop(Frame::decode(&any_bytes(u, 64)?));
        Ok(())
    });
}

/// A batch that another VM forwards, with steps that no caller could submit.
#[test]
fn an_odd_batch_of_a_peer_ends_no_vm() {
    let env = platform::Env::start(1, 1);
    let hello = json!({ "Hello": { "version": 1, "vm": "x", "domain": "a",
        "incarnation": "AAAAAAAAAAAAAAAAAAAAAQ", "peers": { "V4": [[127, 0, 0, 1], 1] } } });
    let step = |count: u64, after: &[u32]| {
        json!({ "count": count, "estimate": 1, "after": after,
        "need": { "cpu": 1, "memory": 1, "gpu": 0 } })
    };
    let odd = [
        json!([]),
        json!([step(0, &[])]),
        json!([step(1, &[0])]),
        json!([step(1, &[7])]),
        json!([step(1, &[]), step(4_000_000_000, &[0])]),
    ];
    for steps in odd {
        let batch = json!({ "Call": { "id": 1, "call": { "Batch": { "number": 1, "age": 0, "patience": 500,
            "spec": { "id": "x", "text": "7000 1", "queue": "holds", "service": "desk", "steps": steps,
                "terms": { "priority": 0, "attempts": 1, "stretch": 1.0, "allowance": 1 } } } } } });
        smol::block_on(async {
            let address = SocketAddr::new(env.vms[0].ip, 8166);
            let stream = smol::net::TcpStream::connect(address).await.expect("the VM listens");
            let url = format!("ws://{address}/");
            let (mut link, _) = client_async(url, stream).await.expect("a link");
            for frame in [&hello, &batch] {
                let mut bytes = Vec::new();
                ciborium::into_writer(frame, &mut bytes).unwrap();
                link.send(Message::Binary(bytes.into())).await.expect("the VM reads");
            }
            // The greeting, then the reply or the end of the link.
            drop(link.next().await);
            drop(link.next().await);
        });
        assert_eq!(env.vms[0].exit_status(), None, "{steps}");
    }
    let reply = env.submit(0, 1, 2, 20).expect("a response");
    assert_eq!((reply.status, &*reply.state), (200, "done"));
}
