//! Log lines are key=value pairs that can be told apart, and a log that can't be written does no harm.

use std::fs::OpenOptions;
use std::io::{BufRead as _, BufReader};
use std::process::{Command, Stdio};

use gypsumkeel::logs::Pairs;
use rustix::process::{Pid, Signal, kill_process};

#[test]
fn values_are_quoted_where_they_need_it() {
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
fn a_log_that_cannot_be_written_does_not_end_the_vm() {
    let full = OpenOptions::new().write(true).open("/dev/full").expect("the device is there");
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
