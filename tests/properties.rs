//! Property tests of the job aggregate, the table of keys, and the parsers of jobs, keys and frames.

#[path = "cases/mod.rs"]
mod cases;

use std::collections::HashMap;
use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use cases::check_all;
use gypsumkeel::clock::Millis;
use gypsumkeel::dispatch::{Delegation, Report};
use gypsumkeel::job::{
    Admission, Execution, Failure, Fingerprint, Job, Key, Outcome, Reason, Spec, State, Table,
    Task, Windows,
};
use gypsumkeel::ownership::Quota;
use gypsumkeel::wire::{Call, Error, Frame, Hello, Reply, VERSION};

fn spec(tasks: usize, repeatable: bool) -> Arc<Spec> {
    let task = Task { payload: "{}".into(), expected: None };
    Arc::new(Spec {
        service: "holds".into(),
        team: String::new(),
        repeatable,
        timeout: None,
        tasks: vec![task; tasks],
    })
}

/// The expected state of one task, derived from the calls to the aggregate.
#[derive(Clone, Default)]
struct Expected {
    open_attempts: u32,
    possible_starts: u32,
    first_answer: Option<Arc<str>>,
}

#[test]
fn a_job_completes_or_fails_with_the_right_execution() {
    check_all(|u| {
        let (count, repeatable) = (u.int_in_range(1..=4)?, u.arbitrary()?);
        let mut job = Job::new(spec(count, repeatable), Millis(1000));
        let mut expected = vec![Expected::default(); count];
        while !u.is_empty() {
            let before = job.outcome().cloned();
            step(u, &mut job, &mut expected)?;
            check(&job, &expected, before.as_ref());
        }
        Ok(())
    });
}

/// Makes one arbitrary call to the job and updates the expected state of its tasks.
fn step(u: &mut Unstructured<'_>, job: &mut Job, expected: &mut [Expected]) -> Result<()> {
    let index = u.choose_index(expected.len())?;
    let task = &mut expected[index];
    match u.int_in_range(0..=20)? {
        0..=7 if job.may_attempt(index) => {
            job.begin_attempt(index);
            task.open_attempts += 1;
            task.possible_starts += 1;
        }
        8..=12 if task.open_attempts > 0 => {
            let answer = Arc::<str>::from(format!("{index}:{}", task.possible_starts));
            if job.outcome().is_none() {
                task.first_answer.get_or_insert_with(|| Arc::clone(&answer));
            }
            task.open_attempts -= 1;
            job.complete_attempt(index, answer);
        }
        13..=15 if task.open_attempts > 0 => {
            task.open_attempts -= 1;
            task.possible_starts -= 1;
            job.undo_attempt(index);
        }
        16..=18 if task.open_attempts > 0 => {
            task.open_attempts -= 1;
            job.fail_attempt(index, u.arbitrary()?, u.arbitrary()?, "broken");
        }
        19 if u.ratio(1, 8)? => job.cancel(),
        20 if u.ratio(1, 8)? => job.expire("with no task under way"),
        _ => {}
    }
    Ok(())
}

/// Checks the job against the expected state of its tasks. `before` is its outcome before the last step.
fn check(job: &Job, expected: &[Expected], before: Option<&Outcome>) {
    for (index, task) in expected.iter().enumerate() {
        assert_eq!(job.possible_starts(index), task.possible_starts);
        assert!(
            job.spec().repeatable || task.possible_starts <= 1,
            "task {index} is not repeatable and may have started twice"
        );
        assert!(
            !job.may_attempt(index) || job.outcome().is_none(),
            "task {index} may be attempted after the job ended"
        );
        assert!(job.state(index) != State::Pending || task.open_attempts == 0);
    }
    assert_eq!(job.has_open_attempts(), expected.iter().any(|task| task.open_attempts > 0));
    if before.is_some() {
        assert_eq!(job.outcome(), before, "an outcome changed");
        return;
    }
    match job.outcome() {
        Some(Outcome::Complete(answers)) => {
            let first_answers = expected.iter().map(|task| task.first_answer.clone().unwrap());
            assert_eq!(*answers, first_answers.collect::<Vec<_>>());
        }
        Some(Outcome::Failed(failure)) => {
            let may_have_run = expected.iter().any(|task| task.possible_starts > 0);
            assert_eq!(failure.execution == Execution::NotRun, !may_have_run, "{failure:?}");
        }
        None => {}
    }
}

const RULES: Windows =
    Windows { length: Millis(100), kept: 3, keys_max: 10, outcome_bytes_max: 1000 };

/// The expected state of one key, derived from the table's decisions.
#[derive(Default)]
struct ExpectedKey {
    job: Option<u64>,
    ended: bool,
    /// Whether a caller may have been told that the job did not run and never will.
    not_run: bool,
}

#[test]
fn a_key_starts_at_most_one_job_and_none_after_not_run() {
    check_all(|u| {
        let mut table = Table::new();
        let mut expected = HashMap::<(u64, String), ExpectedKey>::new();
        let (mut now, mut closed) = (Millis::ZERO, false);
        while !u.is_empty() {
            let window = u.int_in_range(0..=8)?;
            let suffix = u.int_in_range(0..=5_u8)?.to_string();
            let key = expected.entry((window, suffix.clone())).or_default();
            match u.int_in_range(0..=11)? {
                0..=5 => {
                    let fingerprint = Fingerprint([u8::from(u.ratio(1, 8)?); 16]);
                    let admission = table.admit(window, &suffix, fingerprint, &RULES);
                    check_admission(&admission, key, window, closed);
                }
                6 | 7 if key.job.is_some() && !key.ended => {
                    key.ended = true;
                    let failure = Failure::new(Reason::Limited, Execution::NotRun, "full");
                    let outcome = if u.arbitrary()? {
                        Outcome::Complete(vec!["an answer of some length".into()])
                    } else {
                        key.not_run = true;
                        Outcome::Failed(failure)
                    };
                    table.end(window, &suffix, Arc::new(outcome), &RULES);
                }
                8 => {
                    let fenced = table.fence(window, &suffix, &RULES);
                    assert!(
                        !fenced || key.job.is_none(),
                        "key {suffix} of window {window} was fenced after its job was started"
                    );
                    key.not_run |= fenced;
                }
                9 | 10 => {
                    now = now + Millis(u.int_in_range(0..=60)?);
                    let before = table.window();
                    table.advance(now, &RULES);
                    assert!(table.window() >= before, "the window moved back");
                }
                11 if u.ratio(1, 16)? => {
                    table.close();
                    closed = true;
                }
                _ => {}
            }
        }
        Ok(())
    });
}

/// Checks the decision on a submission and updates the expected state of its key.
fn check_admission(admission: &Admission, key: &mut ExpectedKey, window: u64, closed: bool) {
    match admission {
        Admission::New(job) => {
            assert!(key.job.is_none(), "window {window}: a second job for one key");
            assert!(!key.not_run, "window {window}: a job started after not-run was returned");
            assert!(!closed, "window {window}: a closed table accepted a new key");
            key.job = Some(*job);
        }
        Admission::Join(job) => assert!(key.job == Some(*job) && !key.ended),
        Admission::Ended(outcome) => {
            assert!(key.ended);
            assert_eq!(matches!(**outcome, Outcome::Failed(_)), key.not_run);
        }
        Admission::Refused(failure) if failure.execution == Execution::NotRun => {
            assert!(
                key.job.is_none() || key.not_run,
                "window {window}: not-run returned for a started job: {failure:?}"
            );
            key.not_run = true;
        }
        Admission::Refused(_) => {}
    }
}

#[test]
fn any_bytes_parse_as_a_job_or_fail_with_a_remedy() {
    let body =
        br#"{"service":"s","tasks":[{"payload":{"a":[1,"\u00e9"]},"expected_ms":80}],"x":1}"#;
    check_all(|u| {
        let mut bytes = body.to_vec();
        for _ in 0..u.int_in_range(0..=4)? {
            let at = u.choose_index(bytes.len())?;
            match u.int_in_range(0..=2)? {
                0 => bytes[at] = u.arbitrary()?,
                1 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, u.arbitrary()?),
            }
        }
        match Spec::parse(&bytes, 10) {
            Ok(spec) => {
                let reparsed = Spec::parse(&bytes, 10).unwrap();
                assert_eq!(spec.fingerprint(), reparsed.fingerprint());
            }
            Err(error) => assert!(error.to_string().contains(';'), "no remedy in {error}"),
        }
        let raw = u.bytes(u.len().min(64))?;
        assert!(Spec::parse(raw, 10).is_err() || !raw.is_empty());
        Ok(())
    });
}

#[test]
fn a_key_round_trips_through_its_text() {
    let sample = "AAAAAAAAAAAAAAAAAAAAAQ.17.order/9";
    check_all(|u| {
        let mut text = sample.to_owned();
        let at = u.choose_index(text.len())?;
        let replacement =
            if u.arbitrary()? { *u.choose(&['.', '+', '0', '=', ' '])? } else { u.arbitrary()? };
        text.replace_range(at..=at, &replacement.to_string());
        if let Ok(key) = text.parse::<Key>() {
            assert!(Key::is_valid_text(&text));
            assert_eq!(key.to_string().parse(), Ok(key));
        }
        Ok(())
    });
}

/// Sample frames of several kinds.
fn sample_frames() -> Vec<Frame> {
    let key = "AAAAAAAAAAAAAAAAAAAAAQ.17.order/9".parse::<Key>().unwrap();
    let (incarnation, cancelled) = (key.prefix.incarnation, key.clone());
    let hello = Hello {
        version: VERSION,
        vm: "lantern-a-1".into(),
        incarnation,
        domain: "a".into(),
        peer_address: "127.0.0.1:7200".parse().unwrap(),
        cpu: 250,
        quota: Quota::default(),
    };
    let delegation = Delegation {
        name: "x.1".into(),
        service: "holds".into(),
        payload: r#"{"id":1}"#.into(),
        expected: Some(Millis(80)),
        repeatable: true,
        remaining: Millis(900),
    };
    let failure =
        Failure::new(Reason::Limited, Execution::NotRun, "full; wait").retry_after(Millis(5));
    let outcomes = [Outcome::Complete(vec!["1".into(), "{}".into()]), Outcome::Failed(failure)];
    let replies = outcomes.into_iter().map(Reply::Outcome);
    let replies = replies.chain([Reply::Report(Report::Lost("gone; ask".into()))]);
    let calls = [
        Call::Submit { key, spec: Spec::clone(&spec(3, true)) },
        Call::Cancel { key: cancelled },
        Call::Delegate { attempt: 7, delegation },
        Call::Fate { attempt: 7 },
    ];
    let calls = calls.into_iter().map(|call| Frame::Call { id: 3, call });
    let replies = replies.map(|reply| Frame::Reply { id: 3, reply });
    calls.chain(replies).chain([Frame::Hello(hello), Frame::Heartbeat]).collect()
}

#[test]
fn any_bytes_decode_as_a_frame_or_fail_with_a_remedy() {
    let frames = sample_frames();
    for frame in &frames {
        let mut bytes = frame.encode().unwrap();
        assert_eq!(Frame::decode(&bytes).as_ref(), Ok(frame));
        bytes.push(0);
        assert!(
            matches!(Frame::decode(&bytes), Err(Error::Decode(_))),
            "accepted a trailing byte after {frame:?}"
        );
    }
    check_all(|u| {
        let mut bytes = u.choose(&frames)?.encode().unwrap();
        for _ in 0..u.int_in_range(1..=4)? {
            let at = u.choose_index(bytes.len())?;
            match u.int_in_range(0..=3)? {
                0 => bytes[at] = u.arbitrary()?,
                1 => bytes.truncate(at.max(1)),
                2 => bytes.insert(at, u.arbitrary()?),
                // The header of a CBOR array with 2^39 - 1 elements that do not follow.
                _ => bytes
                    .splice(at..=at, [0x9b, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0xff])
                    .for_each(drop),
            }
        }
        match Frame::decode(&bytes) {
            Ok(frame) => assert_eq!(Frame::decode(&frame.encode().unwrap()), Ok(frame)),
            Err(error) => assert!(error.to_string().contains(';'), "no remedy in {error}"),
        }
        let raw = u.bytes(u.len())?;
        if let Ok(frame) = Frame::decode(raw) {
            assert_eq!(Frame::decode(&frame.encode().unwrap()), Ok(frame));
        }
        Ok(())
    });
}
