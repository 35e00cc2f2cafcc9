//! The written form of the frames between VMs, which has to stay the same so that releases can run side by side.

use gypsumkeel::wire::Frame;
use serde_json::{Value, json};

const INCARNATION: &str = "AAAAAAAAAAAAAAAAAAAAAQ";
const KEY: &str = "AAAAAAAAAAAAAAAAAAAAAQ.17.order/9";

/// One frame of each kind as CBOR has it, in the order of the enums in `wire`.
fn frames() -> Vec<Value> {
    let mut frames = vec![
        json!({ "Hello": {
            "version": 1, "vm": "lantern-a-1", "incarnation": INCARNATION, "domain": "a",
            "peers": { "V4": [[127, 0, 0, 1], 7200] }, "cpu": 250,
        } }),
        json!({ "Hello": {
            "version": 1, "vm": "lantern-a-2", "incarnation": INCARNATION, "domain": "a",
            "peers": { "V4": [[127, 0, 0, 1], 7200] }, "cpu": 250, "quota": 8,
        } }),
        json!("Beat"),
    ];
    frames.extend(calls().into_iter().map(|call| json!({ "Call": { "id": 3, "call": call } })));
    frames
        .extend(replies().into_iter().map(|reply| json!({ "Reply": { "id": 3, "reply": reply } })));
    frames.extend(notes().into_iter().map(|note| json!({ "Note": note })));
    frames
}

fn calls() -> [Value; 10] {
    let spec = json!({
        "service": "holds", "team": "", "repeatable": true, "timeout": 900,
        "tasks": [{ "payload": "{}", "expected": 80 }, { "payload": "1", "expected": null }],
    });
    let adoption = json!({
        "name": "x.1", "service": "holds", "payload": "{}", "expected": 80, "repeatable": true, "remaining": 900,
    });
    let batch = json!({
        "id": "batch-1", "text": "work", "queue": "holds", "service": "holds",
        "steps": [{
            "count": 2, "need": { "cpu": 500, "memory": 64, "gpu": 0 }, "estimate": 300, "after": [],
            "required_label": null, "near_rack": "r1", "per_target_max": 4,
        }],
        "terms": { "priority": 1, "attempts": 3, "stretch": 2.5, "allowance": 100 },
    });
    [
        json!({ "Submit": { "key": KEY, "spec": spec } }),
        json!({ "Look": { "key": KEY } }),
        json!({ "Cancel": { "key": KEY } }),
        json!({ "Run": { "start": 7, "adoption": adoption } }),
        json!({ "Since": { "version": 4 } }),
        json!("View"),
        json!("News"),
        json!({ "Fate": { "start": 7 } }),
        json!({ "Batch": { "number": 5, "spec": batch, "age": 20, "patience": 4000 } }),
        json!("Routes"),
    ]
}

fn replies() -> Vec<Value> {
    let failure = json!({
        "reason": "limited", "execution": "not-run", "detail": "full; wait", "retry_after": 5,
    });
    let update = json!({
        "version": 5, "base": 4, "digest": "A".repeat(43), "parts": [], "changes": [],
    });
    let registration = json!({
        "vm": "lantern-a-1", "domain": "a", "region": "r", "incarnation": INCARNATION,
        "callers": { "V4": [[127, 0, 0, 1], 7100] }, "peers": { "V4": [[127, 0, 0, 1], 7200] },
        "draining": false, "cpu": 250,
    });
    let view = json!({
        "members": { "version": { "epoch": 1, "index": 9 }, "value": { INCARNATION: registration } },
        "leaving": { "version": { "epoch": 1, "index": 8 }, "value": ["target-1"] },
    });
    vec![
        json!({ "Outcome": { "Complete": ["1", "{}"] } }),
        json!({ "Outcome": { "Failed": failure } }),
        json!({ "Seen": "Never" }),
        json!({ "Seen": "Running" }),
        json!({ "Seen": { "Ended": { "Complete": [] } } }),
        json!({ "Seen": "Cancelling" }),
        json!({ "Report": { "Done": "{}" } }),
        json!({ "Report": "Full" }),
        json!({ "Report": { "Unsent": "no link" } }),
        json!({ "Report": { "Failed": "status 500" } }),
        json!({ "Report": { "Lost": "gone" } }),
        json!({ "News": versions() }),
        json!({ "Update": update }),
        json!({ "View": view }),
        json!({ "Batch": "Done" }),
        json!({ "Batch": { "Refused": { "reason": "Overload", "retry_after": 1000 } } }),
        json!({ "Routes": [123, 125] }),
    ]
}

fn notes() -> [Value; 5] {
    let slots = json!({ "w": [2, [[77, 3, 1]]], "l": [[88, 2, 1]], "b": [[99, 4]] });
    let load = json!({ "total_cpu": 8000, "free_cpu": 500, "backlog": 30 });
    [
        json!({ "Slots": slots }),
        json!({ "News": versions() }),
        json!({ "Abandon": { "number": 5 } }),
        json!({ "Owns": { "targets": ["target-1"], "round": 6, "draining": true } }),
        json!({ "Busy": { "load": load, "routes": 2 } }),
    ]
}

fn versions() -> Value {
    json!({
        "config": 5,
        "view": { "members": { "epoch": 1, "index": 9 }, "leaving": { "epoch": 1, "index": 8 } },
    })
}

#[test]
fn frames_keep_the_names_of_their_fields_and_variants() {
    for written in frames() {
        let mut bytes = Vec::new();
        ciborium::into_writer(&written, &mut bytes).unwrap();
        let frame = Frame::decode(&bytes).unwrap_or_else(|error| panic!("{written}: {error}"));
        let again = frame.encode().unwrap();
        let again = ciborium::from_reader::<Value, _>(again.as_slice()).unwrap();
        assert_eq!(again, written, "{frame:?}");
    }
}
