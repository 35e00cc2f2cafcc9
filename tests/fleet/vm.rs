//! A VM of the fleet: its process, its faults and its quota of processor time.

use std::fs::{self, File};
use std::net::IpAddr;
use std::os::unix::fs::FileExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// The window of the quota.
const WINDOW: Duration = Duration::from_millis(100);

/// How long a VM may take to stop after SIGTERM, as the platform grants it.
const GRACE: Duration = Duration::from_secs(6);

/// A VM.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    /// The index of its failure domain.
    pub domain: usize,
    pub ip: IpAddr,
    /// The share of a core that it may use; 0 for no quota.
    pub share: f64,
    /// Whether callers are sent to it.
    pub in_rotation: AtomicBool,
    command: Launch,
    process: Mutex<Process>,
    /// Whether the end of the process is wanted.
    is_ending: AtomicBool,
    /// When it was last disturbed.
    disturbed_at: Mutex<Instant>,
}

/// How the process is started.
#[derive(Debug)]
pub struct Launch {
    pub program: PathBuf,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub level: String,
}

#[derive(Debug, Default)]
struct Process {
    child: Option<Child>,
    /// How often the process has been started.
    life: u64,
    is_frozen: bool,
    is_throttled: bool,
    is_stopped: bool,
    usage: Usage,
}

/// The processor time that a process has used, as the kernel's `schedstat` files tell.
#[derive(Debug, Default)]
struct Usage {
    threads: Vec<(File, [u64; 2])>,
    window_began_at: Option<Instant>,
    /// What is left of the quota in this window, in nanoseconds. A debt is carried over.
    left: f64,
    /// The time on a processor, in nanoseconds.
    ran: u64,
    /// The time in the queue for a processor, in nanoseconds.
    waited: u64,
    /// How many windows began, and in how many the quota was used up.
    windows: u64,
    throttled: u64,
}

impl Vm {
    pub fn new(name: String, domain: usize, ip: IpAddr, share: f64, command: Launch) -> Self {
        Self {
            name,
            domain,
            ip,
            share,
            in_rotation: AtomicBool::new(false),
            command,
            process: Mutex::default(),
            is_ending: AtomicBool::new(false),
            disturbed_at: Mutex::new(Instant::now()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Process> {
        self.process.lock().unwrap()
    }

    /// Starts the process, unless another fault that overlaps has done so.
    pub fn start(&self) {
        let mut process = self.lock();
        if process.child.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.command.log).unwrap();
        let child = Command::new(&self.command.program)
            .args(["platform", "--log-level", &self.command.level])
            .args(["--log-lines", if self.command.level == "debug" { "100000" } else { "200" }])
            .env("GYPSUMKEEL_SETTINGS", &self.command.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let (life, usage) = (process.life + 1, std::mem::take(&mut process.usage));
        let usage = Usage { threads: Vec::new(), window_began_at: None, left: 0.0, ..usage };
        *process = Process { child: Some(child), life, usage, ..Process::default() };
        self.is_ending.store(false, Ordering::Relaxed);
        drop(process);
        self.disturb();
    }

    /// Records that the VM is being disturbed.
    pub fn disturb(&self) {
        *self.disturbed_at.lock().unwrap() = Instant::now();
    }

    /// Whether the VM has not been disturbed for `window`, and its process, if it has not ended by itself.
    pub fn is_calm(&self, window: Duration) -> bool {
        let process = self.lock();
        let is_up = process.child.is_some() && !self.is_ending() && !process.is_frozen;
        drop(process);
        is_up && self.disturbed_at.lock().unwrap().elapsed() > window
    }

    /// How often the process has been started.
    pub fn life(&self) -> u64 {
        self.lock().life
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.disturb();
        let mut process = self.lock();
        self.is_ending.store(true, Ordering::Relaxed);
        if let Some(mut child) = process.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Stops the process with SIGTERM, and kills it after the grace period.
    pub fn terminate(&self) {
        self.disturb();
        let start = Instant::now();
        self.is_ending.store(true, Ordering::Relaxed);
        self.lock().send(Signal::TERM);
        while start.elapsed() < GRACE && !self.has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    /// Freezes the process, or lets it run on.
    pub fn freeze(&self, on: bool) {
        self.disturb();
        let mut process = self.lock();
        process.is_frozen = on;
        process.apply();
    }

    fn is_ending(&self) -> bool {
        self.is_ending.load(Ordering::Relaxed)
    }

    /// Whether the process has ended.
    fn has_ended(&self) -> bool {
        let mut process = self.lock();
        process.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_some())
    }

    /// Whether the process has ended by itself.
    pub fn has_failed(&self) -> bool {
        !self.is_ending() && self.has_ended()
    }

    /// Stops the process once its quota is used up, until the next window.
    pub fn enforce_quota(&self) {
        let mut process = self.lock();
        let Some(child) = &process.child else { return };
        let pid = child.id();
        let now = Instant::now();
        let usage = &mut process.usage;
        let quota = self.share * WINDOW.as_nanos() as f64;
        if usage.window_began_at.is_none_or(|began| now - began >= WINDOW) {
            let next = usage.window_began_at.map(|began| began + WINDOW);
            usage.window_began_at = Some(next.filter(|next| now - *next < WINDOW).unwrap_or(now));
            usage.open(pid);
            usage.left = usage.left.min(0.0) + quota;
            usage.windows += 1;
        }
        usage.left -= usage.read() as f64;
        let is_throttled = self.share > 0.0 && usage.left <= 0.0;
        if is_throttled && !process.is_throttled {
            process.usage.throttled += 1;
        }
        process.is_throttled = is_throttled;
        process.apply();
    }

    /// The seconds that the VM ran and those that it waited for a processor, then the number of windows and of those in
    /// which it was throttled.
    pub fn usage(&self) -> (f64, f64, u64, u64) {
        let usage = &self.lock().usage;
        let (ran, waited) = (usage.ran as f64 / 1e9, usage.waited as f64 / 1e9);
        (ran, waited, usage.windows, usage.throttled)
    }

    /// Whether callers may be sent to it.
    pub fn is_in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::Relaxed)
    }
}

impl Process {
    fn send(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // It may have ended by itself.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Stops or continues the process as is wanted now.
    fn apply(&mut self) {
        let is_stopped = self.is_frozen || self.is_throttled;
        if is_stopped != self.is_stopped {
            self.send(if is_stopped { Signal::STOP } else { Signal::CONT });
            self.is_stopped = is_stopped;
        }
    }
}

impl Usage {
    /// Opens the files of threads that are new.
    fn open(&mut self, pid: u32) {
        let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else { return };
        let count = threads.count();
        if count <= self.threads.len() {
            return;
        }
        let threads = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
        let known = std::mem::take(&mut self.threads);
        for (index, thread) in threads.enumerate() {
            if let Ok(file) = File::open(thread.path().join("schedstat")) {
                let used = known.get(index).map_or([0; 2], |(_, used)| *used);
                self.threads.push((file, used));
            }
        }
    }

    /// The nanoseconds used since the last reading.
    fn read(&mut self) -> u64 {
        let mut sum = 0;
        for (file, last) in &mut self.threads {
            let mut text = [0; 64];
            let length = file.read_at(&mut text, 0).unwrap_or(0);
            let text = String::from_utf8_lossy(&text[..length]);
            let mut fields = text.split(' ').map_while(|field| field.parse::<u64>().ok());
            let (Some(ran), Some(waited)) = (fields.next(), fields.next()) else { continue };
            sum += ran.saturating_sub(last[0]);
            self.waited += waited.saturating_sub(last[1]);
            *last = [ran, waited];
        }
        self.ran += sum;
        sum
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
