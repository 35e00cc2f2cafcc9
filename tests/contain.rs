//! A panic while input is parsed is contained; any other, and a broken invariant, ends the process.

use std::env;
use std::os::unix::process::ExitStatusExt as _;
use std::process::Command;

use gypsumkeel::contain::{self, Panicked};
use gypsumkeel::invariant;
use smol::future::yield_now;

/// The variable that tells a child process of a test what to do.
const CHILD: &str = "GYPSUMKEEL_CHILD";

const SIGABRT: i32 = 6;

#[test]
fn a_panic_while_input_is_parsed_is_an_error() {
    assert_eq!(contain::call(|| "parsed"), Ok("parsed"));
    assert_eq!(contain::call(|| panic!("a parser panics")), Err::<(), _>(Panicked));
    let parse = async {
        yield_now().await;
        panic!("a parser panics after it has waited")
    };
    assert_eq!(smol::block_on(contain::future(parse)), Err::<(), _>(Panicked));
    assert!(!contain::is_active());
}

#[test]
fn only_the_parser_is_contained() {
    let own = async {
        yield_now().await;
        contain::is_active()
    };
    let parse = async {
        let before = contain::is_active();
        let own = contain::exempt(own).await;
        (before, own, contain::is_active())
    };
    assert_eq!(smol::block_on(contain::future(parse)), Ok((true, false, true)));
}

/// What a child process does, and whether it lives on.
const CASES: [(&str, fn(), bool); 4] = [
    (
        "parser",
        || assert_eq!(contain::call(|| panic!("a parser panics")), Err::<(), _>(Panicked)),
        true,
    ),
    ("own", || panic!("a mistake"), false),
    ("invariant", || contain::call(|| invariant!(1 > 2, "one is two")).expect("no end"), false),
    (
        "exempt",
        || {
            smol::block_on(async {
                let own = contain::exempt(async { panic!("a mistake") });
                contain::future(own).await.expect("no end")
            });
        },
        false,
    ),
];

#[test]
fn what_is_not_contained_ends_the_process() {
    if let Ok(name) = env::var(CHILD) {
        invariant::exit_on_panic();
        let case = CASES.iter().find(|(known, ..)| *known == name).expect("a case");
        return case.1();
    }
    for (name, _, lives_on) in CASES {
        let mut child = Command::new(env::current_exe().expect("the test's path"));
        child.args(["--exact", "what_is_not_contained_ends_the_process"]).env(CHILD, name);
        let status = child.output().expect("the child runs").status;
        assert_eq!(status.success(), lives_on, "{name}: {status}");
        assert_eq!(status.signal(), (!lives_on).then_some(SIGABRT), "{name}");
    }
}
