//! The program run once as a command, with its input piped in.

use std::ffi::OsStr;
use std::io::Write as _;
use std::process::{Command, Stdio};

/// How a command ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub code: i32,
    pub output: String,
    pub errors: String,
}

/// Runs the program with `words` and `input` to its end.
pub fn run<W: AsRef<OsStr>>(words: impl IntoIterator<Item = W>, input: &str) -> Ended {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
        .args(words)
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
