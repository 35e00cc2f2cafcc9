//! Runs the program as a command with piped input.

use std::ffi::OsStr;
use std::io::Write as _;
use std::process::{Command, Stdio};

/// The exit code and output of a command.
#[derive(Clone, Debug)]
pub struct Ended {
    pub code: i32,
    pub output: String,
    pub errors: String,
}

/// Runs the program with some arguments and standard input until it exits.
pub fn run<W: AsRef<OsStr>>(arguments: impl IntoIterator<Item = W>, input: &str) -> Ended {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin.write_all(input.as_bytes()).expect("the program reads its input");
    drop(stdin);
    let ended = child.wait_with_output().expect("the program ends");
    let text = |bytes| String::from_utf8(bytes).expect("the program writes UTF-8");
    Ended {
        code: ended.status.code().expect("the program exits by itself"),
        output: text(ended.stdout),
        errors: text(ended.stderr),
    }
}
