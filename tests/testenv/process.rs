//! A `gypsumkeel serve` process with its settings file, its signals and its log.

use std::fs;
use std::io::{BufRead as _, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::{Caller, wait_until};

/// The longest time until a process listens or exits.
const LIMIT: Duration = Duration::from_secs(20);

/// The name, domain and settings of a VM, which outlast its process.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub domain: String,
    /// The settings file as JSON, which is valid YAML.
    pub settings: Value,
}

/// A running `gypsumkeel serve` process.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub domain: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    child: Mutex<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Vm {
    /// Starts a process and waits until it listens. Its settings file is written to `directory`.
    pub fn start(directory: &Path, place: &Place) -> Self {
        let file = directory.join(format!("{}.yaml", place.name));
        fs::write(&file, place.settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
            .args(["serve", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::<Mutex<Vec<String>>>::default();
        collect(child.stdout.take().unwrap(), Arc::clone(&log));
        collect(child.stderr.take().unwrap(), Arc::clone(&log));
        let lines = Arc::clone(&log);
        let listening = move || {
            let lines = lines.lock().unwrap();
            let line = lines.iter().find(|line| line.contains("event=listening"))?;
            Some((field(line, "callers=")?, field(line, "peers=")?))
        };
        let mut found = None;
        wait_until(&format!("{} listens", place.name), LIMIT, || {
            found = listening();
            found.is_some() || child.try_wait().unwrap().is_some()
        });
        let Some((callers, peers)) = found else {
            panic!("{} exited before it listened:\n{}", place.name, log.lock().unwrap().join("\n"));
        };
        Self {
            name: place.name.clone(),
            domain: place.domain.clone(),
            callers,
            peers,
            child: Mutex::new(child),
            log,
        }
    }

    /// A caller of this VM.
    pub const fn caller(&self) -> Caller {
        Caller::new(self.callers)
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// The processor time that all threads of the process have used so far.
    pub fn processor_seconds(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap();
        let fields = stat.rsplit(')').next().unwrap().split_whitespace().collect::<Vec<_>>();
        let ticks = [11, 12].map(|index| fields[index].parse::<f64>().unwrap());
        ticks.iter().sum::<f64>() / TICKS_PER_SECOND
    }

    /// The resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        const PAGE_BYTES: u64 = 4096;
        let sizes = fs::read_to_string(format!("/proc/{}/statm", self.pid())).unwrap();
        sizes.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        drop(child.kill());
        drop(child.wait());
    }

    /// Sends SIGTERM, upon which the VM drains and exits.
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process until it is thawed.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a frozen process.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// The exit status of the process, or `None` while it runs.
    pub fn ended(&self) -> Option<ExitStatus> {
        self.child.lock().unwrap().try_wait().unwrap()
    }

    /// Waits until the process exits.
    pub fn wait(&self) -> ExitStatus {
        wait_until(&format!("{} ends", self.name), LIMIT, || self.ended().is_some());
        self.ended().unwrap()
    }

    /// The lines that the process has printed so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().join("\n")
    }

    fn signal(&self, signal: Signal) {
        let mut child = self.child.lock().unwrap();
        if child.try_wait().unwrap().is_none() {
            kill_process(Pid::from_child(&child), signal).unwrap();
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let has_aborted = self.log().contains("event=abort");
        self.kill();
        if thread::panicking() || has_aborted {
            eprintln!("--- log of {}\n{}", self.name, self.log());
        }
        assert!(!has_aborted || thread::panicking(), "{} violated an invariant", self.name);
    }
}

/// Appends the lines of an output to the log.
fn collect(output: impl Read + Send + 'static, log: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            log.lock().unwrap().push(line);
        }
    });
}

/// The address that follows `name` in a log line.
fn field(line: &str, name: &str) -> Option<SocketAddr> {
    let start = line.find(name)? + name.len();
    line[start..].split_whitespace().next()?.trim_matches('"').parse().ok()
}
