//! What a trial has seen: a record of lines with their times, and the runs of all tasks.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The record of a trial.
#[derive(Debug)]
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

/// One run of a task on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub worker: String,
    /// Since the start of the trial.
    pub from: Duration,
    /// `None` while it runs.
    pub end: Option<(Duration, &'static str)>,
}

impl Run {
    /// The id of the job.
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or("")
    }
}

impl Record {
    /// Fails if the file can't be written.
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self { started_at: Instant::now(), file: Mutex::new(file), runs: Mutex::default() })
    }

    /// The time since the start of the trial.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:9.3} {text}").expect("the record can be written");
    }

    pub fn start(&self, worker: &str, task: &str, number: u64) {
        self.line(&format!("{worker} starts {task} run {number}"));
        let (task, worker) = (task.to_owned(), worker.to_owned());
        let run = Run { task, number, worker, from: self.now(), end: None };
        self.runs.lock().unwrap().push(run);
    }

    pub fn end(&self, worker: &str, task: &str, number: u64, how: &'static str) {
        self.line(&format!("{worker} ends {task} run {number}: {how}"));
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let ended = runs.iter_mut().rev().find(|run| {
            run.end.is_none() && run.worker == worker && run.task == task && run.number == number
        });
        if let Some(run) = ended {
            run.end = Some((now, how));
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
