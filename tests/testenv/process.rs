//! A `gypsumkeel serve` process: started on a settings file, signalled, and its log kept.

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

/// How long a start or an end of a process may take.
const LIMIT: Duration = Duration::from_secs(20);

/// What tells one VM from another.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub domain: String,
    /// The whole settings file, as JSON, which is YAML too.
    pub settings: Value,
}

/// A VM of the system.
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
    /// Starts a process and waits until it listens.
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
        keep(child.stdout.take().unwrap(), Arc::clone(&log));
        keep(child.stderr.take().unwrap(), Arc::clone(&log));
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
            panic!("{} ended at its start:\n{}", place.name, log.lock().unwrap().join("\n"));
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

    /// The number of the process.
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// The processor time that the process has taken so far, of all its threads.
    pub fn processor_seconds(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap();
        let fields = stat.rsplit(')').next().unwrap().split_whitespace().collect::<Vec<_>>();
        let ticks = [11, 12].map(|at| fields[at].parse::<f64>().unwrap());
        ticks.iter().sum::<f64>() / TICKS_PER_SECOND
    }

    /// The memory that the process holds, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        const PAGE_BYTES: u64 = 4096;
        let sizes = fs::read_to_string(format!("/proc/{}/statm", self.pid())).unwrap();
        sizes.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        drop(child.kill());
        drop(child.wait());
    }

    /// Asks the process to stop in order.
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Holds the process still.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// How the process ended, once it has.
    pub fn ended(&self) -> Option<ExitStatus> {
        self.child.lock().unwrap().try_wait().unwrap()
    }

    /// Waits for the end of the process.
    pub fn wait(&self) -> ExitStatus {
        wait_until(&format!("{} ends", self.name), LIMIT, || self.ended().is_some());
        self.ended().unwrap()
    }

    /// Everything the process has printed.
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
        let broken = self.log().contains("event=abort");
        self.kill();
        if thread::panicking() || broken {
            eprintln!("--- log of {}\n{}", self.name, self.log());
        }
        assert!(!broken || thread::panicking(), "{} violated an invariant", self.name);
    }
}

fn keep(output: impl Read + Send + 'static, log: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            log.lock().unwrap().push(line);
        }
    });
}

fn field(line: &str, name: &str) -> Option<SocketAddr> {
    let at = line.find(name)? + name.len();
    line[at..].split_whitespace().next()?.trim_matches('"').parse().ok()
}
