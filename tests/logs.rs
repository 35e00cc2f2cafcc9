//! Logs: quoting of values, limits on lines, and a log that can't be written.

use std::fs::OpenOptions;
use std::io::{BufRead as _, BufReader};
use std::process::{Command, Stdio};

use gypsumkeel::logs::{Budget, Kind, Pairs};
use rustix::process::{Pid, Signal, kill_process};

#[test]
fn ambiguous_values_are_quoted() {
    for (value, written) in [
        ("plain-1.5/x", "plain-1.5/x"),
        ("", r#""""#),
        ("two words", r#""two words""#),
        ("a=b", r#""a=b""#),
        (r#"say "no""#, r#""say \"no\"""#),
        ("line\nevent=forged", r#""line\nevent=forged""#),
        ("farol \u{e9}", "\"farol \u{e9}\""),
    ] {
        let pairs = Pairs(&[("n", &1), ("text", &value)]);
        assert_eq!(pairs.to_string(), format!(" n=1 text={written}"));
    }
}

#[test]
fn a_vm_survives_a_log_that_cannot_be_written() {
    let full = OpenOptions::new().write(true).open("/dev/full").expect("/dev/full can be opened");
    let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
        .arg("dev")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(full)
        .spawn()
        .expect("the program starts");
    let mut line = String::new();
    let mut output = BufReader::new(child.stdout.take().expect("standard output is piped"));
    output.read_line(&mut line).expect("the program writes");
    assert!(line.starts_with("event=listening"), "{line}");
    kill_process(Pid::from_child(&child), Signal::TERM).expect("the program runs");
    let status = child.wait().expect("the program ends");
    assert!(status.success(), "{status}");
}

#[test]
fn usual_lines_do_not_displace_severe_ones() {
    let mut budget = Budget::new(10);
    let usual = (0..1000).filter(|_| budget.admits(7, Kind::Usual)).count();
    let severe = (0..1000).filter(|_| budget.admits(7, Kind::Severe)).count();
    assert_eq!((usual, severe), (10, 10));
    assert!(budget.admits(8, Kind::Usual), "a new second has a budget of its own");
}

#[test]
fn omitted_lines_are_counted_by_event() {
    let mut budget = Budget::new(0);
    for event in ["refused", "batch-end", "refused"] {
        budget.omit(event);
    }
    let omitted = budget.take_omitted().into_iter().collect::<Vec<_>>();
    assert_eq!(omitted, [("batch-end".to_owned(), 1), ("refused".to_owned(), 2)]);
    assert!(budget.take_omitted().is_empty(), "taking the counts resets them");
}

#[test]
fn an_invalid_level_is_refused_with_a_list_of_the_valid_ones() {
    let output = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
        .args(["platform", "--log-level", "loud"])
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("off, error, warn, info, debug or trace"), "{text}");
}
