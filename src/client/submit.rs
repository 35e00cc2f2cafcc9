//! `gypsumkeel submit`: one job to the end, or to a truthful word on what is not known.
//!
//! A lost or unknown outcome is asked for again with the same key, since only that can't start a task
//! twice. A refusal by the process in charge that nothing was executed is final for its key, so another
//! try takes a new one. A request that got no further than its entry VM is refused with what is known so
//! far: an earlier copy may still be on its way, so then a key in doubt is kept.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use http_types::Method;
use serde::Deserialize;
use serde_json::value::RawValue;
use smol::Timer;

use super::{Problem, Reply, ask};
use crate::cli;
use crate::clock::{Clock, Millis};
use crate::exit::{self, Exit};
use crate::http::Request;
use crate::job::{Execution, Prefix};

/// The first pause after all entry VMs were tried. It doubles, with jitter.
const BACKOFF_MIN: Millis = Millis(50);

/// The longest pause, where the entry VM asks for none.
const BACKOFF_MAX: Millis = Millis::from_secs(1);

/// How much longer than the job's own timeout one attempt waits for the answer.
const ANSWER_GRACE: Millis = Millis::from_secs(1);

/// How long to wait for a key prefix.
const KEY_TIMEOUT: Millis = Millis::from_secs(1);

/// Why a file is not a job.
#[derive(Debug)]
pub struct JobError(serde_json::Error);

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no job: {}; give the JSON object that docs/API.md shows", self.0)
    }
}

impl std::error::Error for JobError {}

/// Submits the job that the words name, and prints its answer.
pub fn run(words: &cli::Submit) -> Exit {
    let text = match words.file.text() {
        Ok(text) => text,
        Err(error) => return Exit::Usage.because(error),
    };
    let job = match Job::parse(&text, words.repeatable) {
        Ok(job) => job,
        Err(error) => return Exit::Usage.because(format_args!("{}: {error}", words.file)),
    };
    let end = smol::block_on(Submission::new(words, job).run());
    match end {
        End::Complete(answer) => exit::print(&format!("{answer}\n")),
        End::Stopped(code, why) => code.because(why),
    }
}

/// A job as it is sent, the same bytes in every attempt.
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
            let yes = serde_json::value::to_raw_value(&true).map_err(JobError)?;
            fields.insert("repeatable".to_owned(), yes);
        }
        let timeout = fields.get("timeout_ms").map(|raw| serde_json::from_str(raw.get()));
        let timeout = timeout.transpose().map_err(JobError)?;
        Ok(Self { body: serde_json::to_vec(&fields).map_err(JobError)?, timeout })
    }
}

/// Whether a refusal with this status comes from the process that the key names, which will refuse every
/// other copy too. The others are told before the key is passed on.
const fn is_final(status: u16) -> bool {
    !matches!(status, 400 | 404 | 405 | 408 | 413)
}

/// How a submission ended.
enum End {
    Complete(String),
    Stopped(Exit, String),
}

/// What to do after an attempt.
enum Next {
    End(End),
    /// Try again with the same key.
    Same(Option<Millis>),
    /// Try again with a new key, or with the user's if nothing was sent under it.
    Fresh(Option<Millis>),
}

/// One job on its way, over all attempts.
struct Submission<'a> {
    words: &'a cli::Submit,
    job: Job,
    clock: Clock,
    key: Option<String>,
    /// Whether an attempt with this key may have executed something.
    in_doubt: bool,
    attempts: usize,
    /// Why the last attempt gave no answer.
    last: String,
}

impl<'a> Submission<'a> {
    fn new(words: &'a cli::Submit, job: Job) -> Self {
        Self {
            words,
            job,
            clock: Clock::start(),
            key: words.key.clone(),
            in_doubt: false,
            attempts: 0,
            last: "no time to try".to_owned(),
        }
    }

    async fn run(mut self) -> End {
        while self.left() > Millis::ZERO {
            let entry = self.words.entries[self.attempts % self.words.entries.len()];
            self.attempts += 1;
            let wait = match self.attempt(entry).await {
                Next::End(end) => return end,
                Next::Same(wait) => wait,
                Next::Fresh(wait) => {
                    self.key.clone_from(&self.words.key);
                    wait
                }
            };
            self.pause(wait).await;
        }
        self.give_up()
    }

    async fn attempt(&mut self, entry: SocketAddr) -> Next {
        let key = match self.key.clone() {
            Some(key) => key,
            None => match self.take_key(entry).await {
                Ok(key) => key,
                Err(why) => {
                    self.last = why;
                    return Next::Fresh(None);
                }
            },
        };
        self.key = Some(key.clone());
        let question = Request {
            method: Method::Post,
            path: "/v1/jobs",
            headers: &[("Idempotency-Key", &key), ("Content-Type", "application/json")],
            body: &self.job.body,
            timeout: self.answer_limit(),
        };
        match ask(entry, &question).await {
            Reply::Ok(answer) => Next::End(End::Complete(answer)),
            Reply::Problem(problem) => self.weigh(&problem),
            Reply::Unsent(why) => {
                self.last = why;
                if self.in_doubt { Next::Same(None) } else { Next::Fresh(None) }
            }
            Reply::Lost(why) => {
                self.last = why;
                self.in_doubt = true;
                Next::Same(None)
            }
        }
    }

    /// Decides on a refusal or failure.
    fn weigh(&mut self, problem: &Problem) -> Next {
        let wait = problem.retry_after_ms;
        self.last = problem.to_string();
        match problem.execution {
            Execution::NotRun if self.in_doubt && !is_final(problem.status) => Next::Same(wait),
            Execution::NotRun => self.refused(problem.status == 503, wait),
            Execution::Unknown if problem.status == 503 => {
                self.in_doubt = true;
                Next::Same(wait)
            }
            Execution::Ran => self.stop(Exit::Failed),
            Execution::Unknown => self.stop(Exit::Unknown),
        }
    }

    /// Decides after a refusal that is final for the key.
    fn refused(&mut self, may_pass: bool, wait: Option<Millis>) -> Next {
        self.in_doubt = false;
        if self.words.key.is_none() && (may_pass || wait.is_some()) {
            Next::Fresh(wait)
        } else {
            self.stop(Exit::Refused)
        }
    }

    async fn take_key(&self, entry: SocketAddr) -> Result<String, String> {
        #[derive(Deserialize)]
        struct Keys {
            prefix: Prefix,
        }
        let question = Request {
            method: Method::Post,
            path: "/v1/keys",
            headers: &[],
            body: &[],
            timeout: self.left().min(KEY_TIMEOUT),
        };
        let body = match ask(entry, &question).await {
            Reply::Ok(body) => body,
            Reply::Problem(problem) => return Err(problem.to_string()),
            Reply::Unsent(why) | Reply::Lost(why) => return Err(why),
        };
        let keys = serde_json::from_str::<Keys>(&body)
            .map_err(|error| format!("{entry}: no key prefix: {error}; check the address"))?;
        Ok(format!("{}.{:016x}", keys.prefix, fastrand::u64(..)))
    }

    /// Waits as long as the entry VM asked for, or backs off once all entry VMs were tried.
    async fn pause(&self, asked: Option<Millis>) {
        let entries = self.words.entries.len();
        let rounds = self.attempts / entries;
        let backoff = match self.attempts % entries {
            0 => BACKOFF_MIN * (1 << rounds.min(10)),
            _ => Millis::ZERO,
        };
        let longest = backoff.min(BACKOFF_MAX).0;
        let jitter = Millis(fastrand::u64(longest / 2..=longest));
        let wait = asked.unwrap_or_default() + jitter;
        Timer::after(wait.min(self.left()).duration()).await;
    }

    /// How long one attempt waits for the answer. An entry VM that has gone silent must leave time for
    /// another one; the job is joined there.
    fn answer_limit(&self) -> Millis {
        let own_limit = self.job.timeout.map_or(Millis(u64::MAX), |timeout| timeout + ANSWER_GRACE);
        let share = if self.words.entries.len() > 1 { 2 } else { 1 };
        own_limit.min(Millis(self.left().0.div_ceil(share)))
    }

    fn left(&self) -> Millis {
        self.words.timeout - self.clock.now()
    }

    fn give_up(&self) -> End {
        let why = format!("no answer within {}; last: {}", self.words.timeout, self.last);
        match &self.key {
            Some(key) if self.in_doubt => {
                let remedy = format!("submit the same file with --key {key} to ask again");
                End::Stopped(Exit::Unknown, format!("{why}; {remedy}"))
            }
            _ => End::Stopped(Exit::Refused, why),
        }
    }

    fn stop(&self, code: Exit) -> Next {
        Next::End(End::Stopped(code, self.last.clone()))
    }
}
