//! Configuration changes against a test store: racing operators, lost answers, stale answers.

mod testenv;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use gypsumkeel::clock::{Clock, Millis};
use gypsumkeel::config::operator::{self, Edit, Location, Rejection, Section};
use gypsumkeel::config::{self, Change, Head, Holder, Name, Offer, Refusal};
use gypsumkeel::store::{self, Consul, Memory, Store as _};
use testenv::store::Store;
use testenv::{program, wait_until};

const PREFIX: &str = "gypsumkeel/test";
/// How long one call to the store may take.
const TIMEOUT: Millis = Millis::from_secs(2);
/// How long an operator tries to make a change.
const APPLY_TIMEOUT: Millis = Millis::from_secs(60);
/// How long a condition may take to hold.
const LIMIT: Duration = Duration::from_secs(30);

/// An operator with a connection to the store.
struct Operator(Consul);

impl Operator {
    fn new(store: &Store) -> Self {
        Self(Consul::new(store.address(), TIMEOUT))
    }

    fn location(&self) -> Location<'_> {
        Location { store: &self.0, prefix: PREFIX }
    }

    fn apply(&self, section: &str, base: u64, text: &str, who: &str) -> Result<Change, Rejection> {
        self.apply_within(section, base, text, who, APPLY_TIMEOUT)
    }

    fn apply_within(
        &self,
        section: &str,
        base: u64,
        text: &str,
        who: &str,
        timeout: Millis,
    ) -> Result<Change, Rejection> {
        let section = &section.parse::<Name>().unwrap();
        let edit = Edit { section, base, text: Some(text), who, why: "as asked" };
        smol::block_on(operator::apply(self.location(), edit, timeout))
    }

    fn get(&self, section: &str) -> Option<Section> {
        let name = section.parse().unwrap();
        smol::block_on(operator::get(self.location(), Some(&name))).unwrap().1.pop()
    }

    fn history(&self) -> Vec<Change> {
        smol::block_on(operator::history(self.location(), None, usize::MAX)).unwrap()
    }
}

fn team(name: &str, share: u64) -> String {
    format!("- name: {name}\n  share: {share}\n")
}

fn target(id: &str, domain: &str, port: u16) -> String {
    format!("- id: {id}\n  domain: {domain}\n  address: 127.0.0.1:{port}\n")
}

fn client(store: &Store) -> Arc<Consul> {
    Arc::new(Consul::new(store.address(), TIMEOUT))
}

/// Starts a VM's watch of the configuration, on a thread that lasts until the test process ends.
fn watcher<S: store::Store + 'static>(store: Arc<S>) -> Arc<Holder> {
    let holder = Arc::new(Holder::default());
    let watched = Arc::clone(&holder);
    thread::spawn(move || {
        smol::block_on(config::watch(&watched, &*store, PREFIX, Millis::from_secs(1)));
    });
    holder
}

#[test]
fn no_change_is_lost_or_doubled_when_eight_operators_race() {
    const OPERATORS: u64 = 8;
    const CHANGES: u64 = 200;
    let store = Store::start();
    let operators = (0..OPERATORS).map(|number| {
        let operator = Operator::new(&store);
        thread::spawn(move || {
            let (who, unshared) = (format!("op-{number}"), format!("teams/{number}"));
            let mut accepted = Vec::new();
            let mut conflicts = 0;
            for step in 0..CHANGES {
                let shared = step % 4 == 3;
                let (section, name) = if shared {
                    ("teams/all", "all")
                } else {
                    (unshared.as_str(), unshared.as_str())
                };
                loop {
                    let base = operator.get(section).map_or(0, |section| section.reference.version);
                    match operator.apply(
                        section,
                        base,
                        &team(name, number * CHANGES + step + 1),
                        &who,
                    ) {
                        Ok(change) => break accepted.push(change),
                        Err(Rejection::Conflict { current, .. }) => {
                            assert!(shared, "a conflict on a section that nobody else changes");
                            assert!(current.unwrap().who.starts_with("op-"));
                            conflicts += 1;
                        }
                        Err(other) => panic!("{other}"),
                    }
                }
            }
            (accepted, conflicts)
        })
    });
    let operators = operators.collect::<Vec<_>>();
    let results = operators.into_iter().map(|thread| thread.join().unwrap()).collect::<Vec<_>>();
    let conflicts = results.iter().map(|(_, conflicts)| conflicts).sum::<u64>();
    let accepted = results.into_iter().flat_map(|(accepted, _)| accepted);
    let accepted = accepted.map(|change| (change.version, change)).collect::<BTreeMap<_, _>>();
    let operator = Operator::new(&store);
    let history = operator.history();
    println!("conflicts={conflicts} calls={:?}", store.seen());
    assert_eq!(accepted.len() as u64, OPERATORS * CHANGES);
    assert!(
        history.iter().rev().eq(accepted.values()),
        "the history differs from the accepted changes"
    );
    assert!(accepted.keys().copied().eq(1..=OPERATORS * CHANGES));
    for (name, last) in accepted.values().map(|change| (&change.section, change)) {
        let versions = accepted.values().filter(|change| change.section == *name);
        let versions = versions.map(|change| change.section_version).collect::<Vec<_>>();
        assert!(versions.iter().copied().eq(1..=versions.len() as u64), "{name}: {versions:?}");
        if last.section_version == versions.len() as u64 {
            let text = operator.get(&name.to_string()).unwrap().text;
            assert_eq!(config::Hash::of(&text), last.hash.unwrap());
        }
    }
    store.close();
}

#[test]
fn an_old_base_is_a_conflict_that_names_the_last_operator() {
    let store = Store::start();
    let operator = Operator::new(&store);
    operator.apply("teams/desk", 0, &team("desk", 1), "ana").unwrap();
    operator.apply("teams/desk", 1, &team("desk", 2), "ben").unwrap();
    operator.apply("teams/fit", 0, &team("fit", 2), "eva").unwrap();
    for base in [0, 1] {
        let refused = operator.apply("teams/desk", base, &team("desk", 3), "ana").unwrap_err();
        let text = refused.to_string();
        assert!(text.contains("version 2 by ben at 20") && text.contains("--base 2"), "{text}");
    }
    assert_eq!(operator.history().len(), 3);
    store.close();
}

#[test]
fn a_change_whose_answer_is_lost_is_accepted_once() {
    let store = Store::start();
    let operator = Operator::new(&store);
    for (change, part) in ["config/section", "config/head"].repeat(2).into_iter().enumerate() {
        store.lose_responses(part, 1 + change as u32 / 2);
        let base = change as u64;
        let accepted = operator.apply("teams/desk", base, &team("desk", base + 1), "ana").unwrap();
        assert_eq!(accepted.section_version, base + 1);
        store.lose_responses("", 0);
    }
    let ids = operator.history().into_iter().map(|change| change.id).collect::<BTreeSet<_>>();
    assert_eq!(ids.len(), 4);
    assert_eq!(operator.get("teams/desk").unwrap().reference.version, 4);
    store.close();
}

#[test]
fn a_change_during_an_outage_fails_and_changes_nothing() {
    let store = Store::start();
    let operator = Operator::new(&store);
    store.down(true);
    let refused = operator.apply_within("teams/desk", 0, &team("desk", 1), "ana", Millis(300));
    assert!(matches!(refused, Err(Rejection::Failed(_))), "{refused:?}");
    store.down(false);
    assert!(operator.history().is_empty());
    store.close();
}

#[test]
fn stale_reads_of_the_store_revert_nothing() {
    let store = Store::start();
    let (operator, holder) = (Operator::new(&store), watcher(client(&store)));
    operator.apply("teams/desk", 0, &team("desk", 1), "ana").unwrap();
    wait_until("version 1 is in force", LIMIT, || holder.version() == 1);
    store.stale(true);
    operator.apply_within("teams/desk", 1, &team("desk", 2), "ben", Millis(300)).unwrap();
    let lagging = operator.apply_within("teams/desk", 2, &team("desk", 3), "ben", Millis(300));
    assert!(matches!(lagging, Err(Rejection::Failed(_))), "{lagging:?}");
    let peer = watcher(Arc::clone(store.memory()));
    wait_until("version 2 is in force at the peer", LIMIT, || peer.version() == 2);
    holder.offer(peer.snapshot().since(1)).unwrap();
    let restarted = watcher(client(&store));
    wait_until("the stale version is in force", LIMIT, || restarted.version() == 1);
    assert_eq!(restarted.offer(peer.snapshot().since(1)), Ok(Offer::Applied));
    let before = store.seen().watches;
    wait_until("the store gave more stale answers", LIMIT, || store.seen().watches > before + 4);
    assert_eq!((holder.version(), restarted.version()), (2, 2));
    store.stale(false);
    operator.apply("teams/desk", 2, &team("desk", 3), "ben").unwrap();
    wait_until("version 3 is in force", LIMIT, || {
        holder.version() == 3 && restarted.version() == 3
    });
    assert_eq!(holder.snapshot().document.teams[0].share, 3);
    store.close();
}

#[test]
fn updates_from_peers_in_any_order_never_lower_the_version() {
    let store = Store::start();
    let (operator, source) = (Operator::new(&store), watcher(client(&store)));
    let mut updates = Vec::new();
    for step in 0..12 {
        let section = format!("teams/{}", step % 3);
        // One of the sections is too long to be inline in the head.
        let text = team(&section, step + 1) + &"#".repeat(if step % 3 == 0 { 300 } else { 0 });
        operator.apply(&section, step / 3, &text, "ana").unwrap();
        wait_until("the change is in force", LIMIT, || source.version() == step + 1);
        updates.extend((0..=step).map(|base| source.snapshot().since(base)));
    }
    let last = source.snapshot();
    for seed in 0..50 {
        let mut order = updates.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut order);
        let holder = Holder::default();
        for update in order {
            let (before, version, base) = (holder.version(), update.version, update.base);
            let expected = if version <= before {
                Ok(Offer::Old)
            } else if base > before {
                Err(Refusal::Gap { current: before })
            } else {
                Ok(Offer::Applied)
            };
            assert_eq!(holder.offer(update), expected, "seed {seed}");
            assert!(holder.version() >= before);
        }
        assert_eq!(holder.version(), 12, "seed {seed}");
        assert_eq!(holder.snapshot().document, last.document);
        assert_eq!(holder.snapshot().since(0), last.since(0));
    }
    let mut damaged = last.since(0);
    damaged.parts[0].text = Some("- name: other".into());
    assert!(matches!(Holder::default().offer(damaged), Err(Refusal::Damaged(_))));
    let mut partial = last.since(0);
    partial.parts.pop();
    assert_eq!(Holder::default().offer(partial), Err(Refusal::Mismatch));
    store.close();
}

#[test]
fn an_invalid_change_is_refused_with_path_and_remedy() {
    let store = Store::start();
    let (operator, holder) = (Operator::new(&store), watcher(client(&store)));
    operator.apply("targets/a", 0, &target("t1", "a", 7001), "ana").unwrap();
    let large = "# filler\n".repeat(60_000);
    let cases = [
        ("targets/b", target("t1", "b", 7002), "targets/b[0].id: \"t1\": the target is in domain"),
        ("targets/b", target("t2", "b", 7001), "targets/b[0].address: 127.0.0.1:7001: target"),
        ("targets/b", target("t2", "b", 7002) + "  slots: 0\n", "targets/b[0].slots: 0: use 1"),
        ("targets/b", target("t2", "b", 7002) + "  slot: 8\n", "targets/b[0].slot"),
        ("services", "- { name: s, targets: [t9] }".into(), "services[0].targets[0]: \"t9\": no"),
        (
            "services",
            "- { name: s }\n- { name: s }".into(),
            "services[1].name: s: the name is used",
        ),
        ("services", "- { name: s, timeout: 5 }".into(), "services[0].timeout"),
        ("limits", "retries: { share: 7 }".into(), "limits.retries.share: 7: use a share"),
        ("teams", "- name: [".into(), "teams line 2 column 1: did not find"),
        ("teams", large, "teams: 540000 bytes: keep it within 524288 bytes"),
    ];
    let refused = cases.map(|(section, text, expected)| {
        let refusal = operator.apply(section, 0, &text, "ana").unwrap_err().to_string();
        assert!(refusal.contains(expected), "{refusal}\ndoes not contain\n{expected}");
        refusal
    });
    insta::assert_snapshot!(refused.join("\n"));
    assert!("groups/x".parse::<Name>().is_err() && "limits/x".parse::<Name>().is_err());
    assert_eq!(operator.history().len(), 1);
    wait_until("version 1 is in force", LIMIT, || holder.version() == 1);
    store.close();
}

#[test]
fn a_target_in_use_can_not_be_removed_but_an_unused_section_can() {
    let store = Store::start();
    let (operator, holder) = (Operator::new(&store), watcher(client(&store)));
    operator.apply("targets/a", 0, &target("t1", "a", 7001), "ana").unwrap();
    operator.apply("services", 0, "- { name: s, targets: [t1] }", "ana").unwrap();
    let remove = |section: &str, base| {
        let section = &section.parse().unwrap();
        let edit = Edit { section, base, text: None, who: "ana", why: "gone" };
        smol::block_on(operator::apply(operator.location(), edit, APPLY_TIMEOUT))
    };
    let refused = remove("targets/a", 1).unwrap_err().to_string();
    assert!(refused.contains("services[0].targets[0]"), "{refused}");
    assert!(remove("teams", 0).unwrap_err().to_string().contains("no such section"));
    remove("services", 1).unwrap();
    remove("targets/a", 1).unwrap();
    wait_until("the removal is in force", LIMIT, || holder.version() == 4);
    assert_eq!(*holder.snapshot().document, config::Document::default());
    let again = operator.apply("targets/a", 2, &target("t1", "a", 7001), "ana").unwrap();
    assert_eq!(again.section_version, 3);
    store.close();
}

#[test]
fn a_text_gone_from_the_store_changes_nothing_on_the_vms() {
    let store = Store::start();
    let (operator, holder) = (Operator::new(&store), watcher(client(&store)));
    let long = team("desk", 1) + &"#".repeat(300);
    operator.apply("teams/desk", 0, &long, "ana").unwrap();
    wait_until("version 1 is in force", LIMIT, || holder.version() == 1);
    let key = format!("{PREFIX}/config/section/{}", config::Hash::of(&long));
    smol::block_on(store.memory().delete(&key)).unwrap();
    let refused = operator.apply("teams/fit", 0, &team("fit", 1), "ana").unwrap_err().to_string();
    assert!(
        refused.contains("section teams/desk") && refused.contains("apply that section again"),
        "{refused}"
    );
    assert_eq!(holder.snapshot().document.teams.len(), 1);
    operator.apply("teams/desk", 1, &long, "ana").unwrap();
    operator.apply("teams/fit", 0, &team("fit", 1), "ana").unwrap();
    wait_until("version 3 is in force", LIMIT, || holder.version() == 3);
    store.close();
}

#[test]
fn the_head_of_520_sections_stays_under_the_limit_of_a_value() {
    let mut head = Head::default();
    for version in 1..=2000 {
        drop(head.take_chunk());
        let section = format!("teams/{:0>58}", version % 520).parse::<Name>().unwrap();
        let text = "\n".repeat(256);
        let change = Change {
            version,
            id: "f".repeat(32),
            section_version: head.version_of(&section) + 1,
            section,
            hash: Some(config::Hash::of(&text)),
            who: "w".repeat(128),
            changed_at: Millis(u64::MAX >> 11),
            why: "y".repeat(512),
        };
        head.accept(change, Some(&text));
    }
    let size = serde_json::to_vec(&head).unwrap().len();
    println!("head with every field at its longest: {size} bytes");
    assert!(size < config::TEXT_MAX_BYTES, "{size}");
}

/// VMs and operators' tools of other versions read and write the same head.
#[test]
fn the_head_keeps_its_stored_form() {
    let hash = config::Hash::of("[]").to_string();
    let reference = format!(
        r#""hash":"{hash}","version":1,"changed":2,"who":"ana","at_unix_ms":1700000000000"#
    );
    let removed = r#""hash":null,"version":3,"changed":3,"who":"ben","at_unix_ms":5"#;
    let change = format!(
        r#""version":2,"id":"f0","section":"teams/desk","section_version":1,"hash":"{hash}""#
    );
    let sections = format!(r#""targets":{{{removed}}},"teams/desk":{{{reference},"inline":"[]"}}"#);
    let time = r#""at_unix_ms":1700000000000"#;
    let text = format!(
        r#"{{"version":3,"sections":{{{sections}}},"changes":[{{{change},"who":"ana",{time},"why":"set up"}}]}}"#
    );
    let head = serde_json::from_str::<Head>(&text).unwrap();
    let reference = &head.sections[&"teams/desk".parse::<Name>().unwrap()];
    assert_eq!((reference.document_version, reference.changed_at), (2, Millis(1_700_000_000_000)));
    assert_eq!(head.changes[0].changed_at, Millis(1_700_000_000_000));
    assert_eq!(serde_json::to_string(&head).unwrap(), text);
}

/// Runs the operators' tool and returns its exit code and output.
fn run_tool(store: &Store, words: &str, input: &str) -> (i32, String) {
    let url = store.url();
    let mut words = words.split(' ').collect::<Vec<_>>();
    words.splice(2..2, ["--store", &url, "--prefix", PREFIX]);
    let ended = program::run(words, input);
    (ended.code, ended.output + &ended.errors)
}

#[test]
fn one_of_racing_processes_changes_the_shared_section_and_each_changes_its_own() {
    const OPERATORS: u64 = 8;
    const ROUNDS: u64 = 5;
    let store = Store::start();
    for round in 0..ROUNDS {
        store.lose_responses("config/head", 2);
        let store = &store;
        thread::scope(|scope| {
            let runs = (0..OPERATORS).map(|number| {
                scope.spawn(move || {
                    let words = |section: &str| {
                        format!(
                            "config apply --section {section} --base {round} --who op-{number} --why race -"
                        )
                    };
                    let (unshared, share) = (format!("teams/{number}"), number + 1);
                    let (code, text) = run_tool(store, &words(&unshared), &team(&unshared, share));
                    assert_eq!(code, 0, "{text}");
                    run_tool(store, &words("teams/all"), &team("all", share))
                })
            });
            let runs = runs.collect::<Vec<_>>();
            let ended = runs.into_iter().map(|run| run.join().unwrap()).collect::<Vec<_>>();
            let accepted = ended.iter().filter(|(code, _)| *code == 0).count();
            let conflicts =
                ended.iter().filter(|(code, text)| *code == 3 && text.contains("by op-")).count();
            assert_eq!((accepted, conflicts), (1, OPERATORS as usize - 1), "{ended:?}");
        });
    }
    let history = Operator::new(&store).history();
    assert_eq!(history.len() as u64, ROUNDS * (OPERATORS + 1));
    let ids = history.iter().map(|change| &change.id).collect::<BTreeSet<_>>();
    assert_eq!(ids.len(), history.len());
    assert!(history.iter().all(|change| change.who.starts_with("op-") && change.why == "race"));
    store.close();
}

/// Run it with `cargo test --release --test config -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn cost_of_a_change_by_the_number_of_sections() {
    const CHANGES: u64 = 50;
    println!("sections, head bytes, document bytes, update bytes, apply us, reads, in force us");
    for sections in [10, 50, 100, 200, 520] {
        let store = Arc::new(Memory::new(Clock::start()));
        let location = Location { store: &*store, prefix: PREFIX };
        let apply = |section: u64, base, share| {
            let name = format!("teams/team-{section:04}");
            let text = team(&name, share);
            let edit = Edit {
                section: &name.parse().unwrap(),
                base,
                text: Some(&text),
                who: "operator",
                why: "slope",
            };
            smol::block_on(operator::apply(location, edit, APPLY_TIMEOUT)).unwrap()
        };
        (0..sections).for_each(|section| drop(apply(section, 0, 1)));
        let holder = watcher(Arc::clone(&store));
        wait_until("all sections are in force", LIMIT, || holder.version() == sections);
        let (reads, begun) = (store.calls().reads, Instant::now());
        for change in 0..CHANGES {
            let section = change * 7 % sections;
            let base = smol::block_on(operator::get(location, None)).unwrap().1;
            let name = format!("teams/team-{section:04}");
            let base = base.iter().find(|one| one.name.to_string() == name).unwrap();
            apply(section, base.reference.version, change + 2);
        }
        let change_time = begun.elapsed().as_micros() / u128::from(CHANGES);
        let reads = (store.calls().reads - reads) / CHANGES;
        wait_until("all changes are in force", LIMIT, || holder.version() == sections + CHANGES);
        let last = holder.snapshot();
        let whole = last.since(0);
        let latest = last.since(last.version - 1);
        let begun = Instant::now();
        for _ in 0..CHANGES {
            let fresh = Holder::default();
            fresh.offer(whole.clone()).unwrap();
        }
        let apply_time = begun.elapsed().as_micros() / u128::from(CHANGES);
        let size = |update| serde_json::to_vec(update).unwrap().len();
        let head = store.peek(&format!("{PREFIX}/config/head")).unwrap().len();
        println!(
            "{sections}, {head}, {}, {}, {change_time}, {reads}, {apply_time}",
            size(&whole),
            size(&latest)
        );
    }
}
