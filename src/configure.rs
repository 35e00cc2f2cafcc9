//! `gypsumkeel config`: reads and changes the configuration in the platform's store.

use std::fmt::Write as _;

use crate::audit;
use crate::cli::{self, Action};
use crate::clock::Millis;
use crate::config::operator::{self, Edit, Location, Rejection, Section};
use crate::config::{Change, Name};
use crate::exit::{self, Exit};
use crate::logs::Pairs;
use crate::store::Consul;

/// How long one call to the store may take.
const STORE_TIMEOUT: Millis = Millis::from_secs(2);

/// How long a change is tried before it is given up.
const APPLY_PATIENCE: Millis = Millis::from_secs(10);

/// The most changes that `history` prints.
const HISTORY_MAX: usize = 1000;

/// Does what the words ask for.
pub fn run(words: &cli::Config) -> Exit {
    let store = Consul::new(words.store, STORE_TIMEOUT);
    let location = Location { store: &store, prefix: &words.prefix };
    match &words.action {
        Action::Get { section } => get(location, section.as_ref()),
        Action::History { section } => history(location, section.as_ref()),
        Action::Apply(words) => apply(location, words),
    }
}

/// Prints the texts to standard output, and each section's version to standard error.
fn get(location: Location<'_>, only: Option<&Name>) -> Exit {
    let (version, sections) = match smol::block_on(operator::get(location, only)) {
        Ok(found) => found,
        Err(error) => return Exit::Failed.because(error),
    };
    if let Some(name) = only
        && sections.is_empty()
    {
        let remedy = "apply it with --base 0, or get without --section to see what is there";
        return Exit::Failed.because(format_args!("there is no section {name}; {remedy}"));
    }
    exit::note(format_args!("version={version}"));
    for section in &sections {
        exit::note(summary(section));
    }
    let texts = sections.iter().map(|section| match only {
        Some(_) => section.text.to_string(),
        None => format!("# {}\n{}\n", section.name, section.text.trim_end()),
    });
    exit::print(&texts.collect::<String>())
}

fn summary(section: &Section) -> String {
    let reference = &section.reference;
    let at = audit::rfc3339(reference.changed_at);
    let pairs = Pairs(&[("version", &reference.version), ("who", &reference.who), ("at", &at)]);
    format!("section={}{pairs}", section.name)
}

fn history(location: Location<'_>, only: Option<&Name>) -> Exit {
    match smol::block_on(operator::history(location, only, HISTORY_MAX)) {
        Ok(changes) => exit::print(&changes.iter().fold(String::new(), |mut text, change| {
            let _ = writeln!(text, "{}", entry(change));
            text
        })),
        Err(error) => Exit::Failed.because(error),
    }
}

/// One entry of the audit trail.
fn entry(change: &Change) -> String {
    let at = audit::rfc3339(change.changed_at);
    let pairs = Pairs(&[
        ("at", &at),
        ("who", &change.who),
        ("section", &change.section),
        ("section_version", &change.section_version),
        ("change", &change.id),
        ("why", &change.why),
    ]);
    format!("version={}{pairs}", change.version)
}

fn apply(location: Location<'_>, words: &cli::Apply) -> Exit {
    let text = match words.file.text() {
        Ok(text) => text,
        Err(error) => return Exit::Usage.because(error),
    };
    let edit = Edit {
        section: &words.section,
        base: words.base,
        text: Some(&text),
        who: &words.who,
        why: &words.why,
    };
    match smol::block_on(operator::apply(location, edit, APPLY_PATIENCE)) {
        Ok(change) => exit::print(&format!("{}\n", entry(&change))),
        Err(Rejection::Invalid(faults)) => {
            for fault in faults {
                exit::complain(format_args!("{}: {fault}", words.file));
            }
            Exit::Usage
        }
        Err(rejection) => code(&rejection).because(rejection),
    }
}

const fn code(rejection: &Rejection) -> Exit {
    match rejection {
        Rejection::Invalid(_) => Exit::Usage,
        Rejection::Conflict { .. } => Exit::Refused,
        Rejection::Failed(_) => Exit::Failed,
        Rejection::Unknown { .. } => Exit::Unknown,
    }
}
