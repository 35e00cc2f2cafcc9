//! `gypsumkeel submit`: submits a job and waits for its outcome, or reports that the outcome is unknown.
//!
//! After a lost response or an unknown outcome, the job is submitted again with the same key, as only that can't
//! execute a task twice. If the process that the key names refuses the job and reports that nothing was executed,
//! that is final for the key, and the next attempt uses a new key. A refusal by the entry VM itself covers only that
//! request: an earlier one with the same key may still arrive, so a key with an unknown outcome is kept.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use http_types::Method;
use serde::Deserialize;
use serde_json::value::RawValue;
use smol::Timer;

use super::{Problem, Reply, send};
use crate::cli;
use crate::clock::{Clock, Millis};
use crate::exit::{self, Exit};
use crate::http::Request;
use crate::job::{Execution, Prefix};

/// The shortest pause after the first round over all entry VMs. It doubles with each round; up to as much jitter is
/// added.
const BACKOFF_MIN: Millis = Millis(50);

/// The longest pause, without the time that an entry VM asks to wait.
const BACKOFF_MAX: Millis = Millis::from_secs(1);

/// How much longer than the job's timeout an attempt waits for the response.
const RESPONSE_GRACE: Millis = Millis::from_secs(1);

/// How long a request for a key prefix may take.
const KEY_TIMEOUT: Millis = Millis::from_secs(1);

/// Why a file does not contain a job.
#[derive(Debug)]
pub struct JobError(serde_json::Error);

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a job: {}; give the JSON object that docs/API.md shows", self.0)
    }
}

impl std::error::Error for JobError {}

/// Submits the job in the file that the arguments name, and prints its outcome.
pub fn run(args: &cli::Submit) -> Exit {
    let text = match args.file.text() {
        Ok(text) => text,
        Err(error) => return Exit::Usage.because(error),
    };
    let job = match Job::parse(&text, args.repeatable) {
        Ok(job) => job,
        Err(error) => return Exit::Usage.because(format_args!("{}: {error}", args.file)),
    };
    match smol::block_on(Submission::new(args, job).run()) {
        End::Complete(outcome) => exit::print(&format!("{outcome}\n")),
        End::Failed(code, why) => code.because(why),
    }
}

/// The job as sent. All attempts send the same bytes.
#[derive(Debug)]
struct Job {
    body: Vec<u8>,
    timeout: Option<Millis>,
}

impl Job {
    fn parse(text: &str, repeatable: bool) -> Result<Self, JobError> {
        let fields = serde_json::from_str::<BTreeMap<String, Box<RawValue>>>(text);
        let mut fields = fields.map_err(JobError)?;
        if repeatable {
            let value = serde_json::value::to_raw_value(&true).map_err(JobError)?;
            fields.insert("repeatable".to_owned(), value);
        }
        let timeout = fields.get("timeout_ms").map(|raw| serde_json::from_str(raw.get()));
        let timeout = timeout.transpose().map_err(JobError)?;
        Ok(Self { body: serde_json::to_vec(&fields).map_err(JobError)?, timeout })
    }
}

/// Whether a refusal with this status comes from the process that the key names, which then refuses every request
/// with the key. The other statuses come from the entry VM, before it has forwarded the request.
const fn is_final(status: u16) -> bool {
    !matches!(status, 400 | 404 | 405 | 408 | 413)
}

/// How a submission ended.
enum End {
    /// Holds the outcome as the entry VM sent it.
    Complete(String),
    /// Holds the exit code and the reason.
    Failed(Exit, String),
}

/// The step after an attempt.
enum Next {
    /// Stop.
    End(End),
    /// Try again with the same key, once the time that the entry VM asked for is over.
    SameKey(Option<Millis>),
    /// Try again with a new key, or with the user's if nothing was sent with it.
    NewKey(Option<Millis>),
}

/// The submission of a job over all attempts.
struct Submission<'a> {
    args: &'a cli::Submit,
    job: Job,
    clock: Clock,
    key: Option<String>,
    /// Whether an attempt with this key may have executed a task.
    in_doubt: bool,
    attempts: usize,
    /// Why the last attempt failed.
    last_error: String,
}

impl<'a> Submission<'a> {
    fn new(args: &'a cli::Submit, job: Job) -> Self {
        Self {
            args,
            job,
            clock: Clock::start(),
            key: args.key.clone(),
            in_doubt: false,
            attempts: 0,
            last_error: "the time was up before the first attempt".to_owned(),
        }
    }

    async fn run(mut self) -> End {
        while self.time_left() > Millis::ZERO {
            let entry = self.args.entries[self.attempts % self.args.entries.len()];
            self.attempts += 1;
            let wait = match self.attempt(entry).await {
                Next::End(end) => return end,
                Next::SameKey(wait) => wait,
                Next::NewKey(wait) => {
                    self.key.clone_from(&self.args.key);
                    wait
                }
            };
            self.pause(wait).await;
        }
        self.timed_out()
    }

    async fn attempt(&mut self, entry: SocketAddr) -> Next {
        let key = match self.key.clone() {
            Some(key) => key,
            None => match self.request_key(entry).await {
                Ok(key) => key,
                Err(why) => {
                    self.last_error = why;
                    return Next::NewKey(None);
                }
            },
        };
        self.key = Some(key.clone());
        let request = Request {
            method: Method::Post,
            path: "/v1/jobs",
            headers: &[("Idempotency-Key", &key), ("Content-Type", "application/json")],
            body: &self.job.body,
            timeout: self.response_timeout(),
        };
        match send(entry, &request).await {
            Reply::Ok(outcome) => Next::End(End::Complete(outcome)),
            Reply::Problem(problem) => self.after_problem(&problem),
            Reply::Unsent(why) => {
                self.last_error = why;
                if self.in_doubt { Next::SameKey(None) } else { Next::NewKey(None) }
            }
            Reply::Lost(why) => {
                self.last_error = why;
                self.in_doubt = true;
                Next::SameKey(None)
            }
        }
    }

    /// The step after a problem document.
    fn after_problem(&mut self, problem: &Problem) -> Next {
        let wait = problem.retry_after_ms;
        self.last_error = problem.to_string();
        match problem.execution {
            Execution::NotRun if self.in_doubt && !is_final(problem.status) => Next::SameKey(wait),
            Execution::NotRun => self.after_refusal(problem.status == 503, wait),
            Execution::Unknown if problem.status == 503 => {
                self.in_doubt = true;
                Next::SameKey(wait)
            }
            Execution::Ran => self.stop(Exit::Failed),
            Execution::Unknown => self.stop(Exit::Unknown),
        }
    }

    /// The step after a refusal that is final for the key. `may_pass` says whether the cause may pass by itself.
    fn after_refusal(&mut self, may_pass: bool, wait: Option<Millis>) -> Next {
        self.in_doubt = false;
        if self.args.key.is_none() && (may_pass || wait.is_some()) {
            Next::NewKey(wait)
        } else {
            self.stop(Exit::Refused)
        }
    }

    /// Requests a key prefix from the entry VM and appends a random suffix.
    async fn request_key(&self, entry: SocketAddr) -> Result<String, String> {
        #[derive(Deserialize)]
        struct Keys {
            prefix: Prefix,
        }
        let request = Request {
            method: Method::Post,
            path: "/v1/keys",
            headers: &[],
            body: &[],
            timeout: self.time_left().min(KEY_TIMEOUT),
        };
        let body = match send(entry, &request).await {
            Reply::Ok(body) => body,
            Reply::Problem(problem) => return Err(problem.to_string()),
            Reply::Unsent(why) | Reply::Lost(why) => return Err(why),
        };
        let keys = serde_json::from_str::<Keys>(&body).map_err(|error| {
            format!("{entry}: the response has no key prefix: {error}; check --entry")
        })?;
        Ok(format!("{}.{:016x}", keys.prefix, fastrand::u64(..)))
    }

    /// Waits for the time that the entry VM asked for, and backs off after each round over all entry VMs.
    async fn pause(&self, requested: Option<Millis>) {
        let entries = self.args.entries.len();
        let rounds = self.attempts / entries;
        let backoff = match self.attempts % entries {
            0 => BACKOFF_MIN * (1 << rounds.min(10)),
            _ => Millis::ZERO,
        };
        let longest = backoff.min(BACKOFF_MAX).0;
        let jitter = Millis(fastrand::u64(longest / 2..=longest));
        let wait = requested.unwrap_or_default() + jitter;
        Timer::after(wait.min(self.time_left()).duration()).await;
    }

    /// How long an attempt waits for the response. With several entry VMs this is at most half the time left, so that
    /// an unreachable one leaves time for another, where the attempt joins the same job by its key.
    fn response_timeout(&self) -> Millis {
        let job_timeout =
            self.job.timeout.map_or(Millis(u64::MAX), |timeout| timeout + RESPONSE_GRACE);
        let divisor = if self.args.entries.len() > 1 { 2 } else { 1 };
        job_timeout.min(Millis(self.time_left().0.div_ceil(divisor)))
    }

    fn time_left(&self) -> Millis {
        self.args.timeout - self.clock.now()
    }

    fn timed_out(&self) -> End {
        let why =
            format!("no outcome within {}; last error: {}", self.args.timeout, self.last_error);
        match &self.key {
            Some(key) if self.in_doubt => {
                let remedy =
                    format!("submit the same file with --key {key} to ask for the outcome");
                End::Failed(Exit::Unknown, format!("{why}; {remedy}"))
            }
            _ => End::Failed(Exit::Refused, why),
        }
    }

    fn stop(&self, code: Exit) -> Next {
        Next::End(End::Failed(code, self.last_error.clone()))
    }
}
