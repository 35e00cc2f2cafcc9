//! The review of a configuration of the platform before it is sent.

use arbtest::arbtest;
use gypsumkeel::platform::review::{recognizes, review};
use gypsumkeel::settings::read;
use serde_json::{Value, json};

fn route(name: &str, prefix: &str) -> Value {
    json!({ "name": name, "host": "desk.example", "prefix": prefix, "kind": "unsafe", "timeoutMs": 1500,
        "sloMs": 60, "priority": 1, "service": "desk", "attempts": 3, "stretch": 1.6 })
}

fn configuration() -> Value {
    json!({ "version": 7, "routes": [route("holds", "/holds/"), route("quotes", "/quotes/")],
        "services": [{ "name": "desk" }], "limits": { "maxBodyBytes": 262_144 } })
}

/// The paths of the faults of a configuration.
fn faults(configuration: &Value) -> Vec<String> {
    let root = read::parse(&configuration.to_string()).unwrap();
    assert!(recognizes(&root));
    let mut paths = review(&root).1.into_iter().map(|fault| fault.path).collect::<Vec<_>>();
    paths.sort();
    paths
}

/// The differences between two configurations, as shown.
fn changes(new: &Value, old: &Value) -> Vec<String> {
    let read = |value: &Value| review(&read::parse(&value.to_string()).unwrap()).0.unwrap();
    read(new).changes_since(&read(old)).iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_configuration_has_no_faults_and_no_changes() {
    assert_eq!(faults(&configuration()), Vec::<String>::new());
    assert_eq!(changes(&configuration(), &configuration()), Vec::<String>::new());
}

/// Guards against a kind of fault that the review passes over.
#[test]
fn each_fault_is_reported_at_its_path() {
    let cases = [
        ("/version", json!(0), "version"),
        ("/limits/maxBodyBytes", json!(1), "limits.maxBodyBytes"),
        ("/routes/1/name", json!("holds"), "routes[1].name"),
        ("/routes/1/name", json!(""), "routes[1].name"),
        ("/routes/1/prefix", json!("/holds/"), "routes[1].prefix"),
        ("/routes/1/prefix", json!("quotes/"), "routes[1].prefix"),
        ("/routes/1/host", json!("desk.example:80"), "routes[1].host"),
        ("/routes/1/service", json!("table"), "routes[1].service"),
        ("/routes/1/attempts", json!(0), "routes[1].attempts"),
        ("/routes/1/stretch", json!(0.5), "routes[1].stretch"),
        ("/routes/1/timeoutMs", json!(60), "routes[1].timeoutMs"),
        ("/routes/1/timeoutMs", json!("soon"), "routes[1].timeoutMs"),
        ("/services/0/name", json!(7), "services[0].name"),
    ];
    for (pointer, value, path) in cases {
        let mut faulty = configuration();
        *faulty.pointer_mut(pointer).unwrap() = value.clone();
        let found = faults(&faulty);
        assert!(found.iter().any(|found| found == path), "{pointer} = {value}: {found:?}");
    }
}

/// Guards against changes that are not shown, and against effects that belong to another field.
#[test]
fn changes_are_listed_by_route() {
    let mut new = configuration();
    new["version"] = json!(9);
    new["routes"][0]["timeoutMs"] = json!(900);
    new["routes"][1] = route("slips", "/slips/");
    insta::assert_snapshot!(changes(&new, &configuration()).join("\n"), @r"
    version: 7 to 9; comes into force once it is higher
    route holds: timeoutMs 1500 to 900; holds for requests that arrive from then on
    route slips: added; its callers are served as soon as it is in force
    route quotes: removed; its callers get 404, unless another route matches; jobs that have arrived go on
    ");
}

/// Guards against input that ends the check with a panic.
#[test]
fn no_input_makes_the_review_panic() {
    arbtest(|random| {
        let mut text = configuration().to_string().into_bytes();
        for _ in 0..random.int_in_range(0..=8)? {
            let position = random.choose_index(text.len())?;
            text[position] = random.arbitrary()?;
        }
        if let Ok(text) = String::from_utf8(text)
            && let Ok(root) = read::parse(&text)
        {
            let (read, _) = review(&root);
            if let Some(read) = read {
                read.changes_since(&read);
            }
        }
        Ok(())
    });
}
