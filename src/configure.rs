//! The `config` command, which reads and changes the configuration in the platform's store.

use std::fmt::Write as _;

use crate::audit;
use crate::cli::{self, Action};
use crate::clock::Millis;
use crate::config::operator::{self, Edit, Location, Rejection, Section};
use crate::config::{Change, Name};
use crate::exit::{self, Exit};
use crate::logs::Pairs;
use crate::store::Consul;

/// The timeout of one call to the store.
const STORE_TIMEOUT: Millis = Millis::from_secs(2);

/// How long `apply` retries a change.
const APPLY_TIMEOUT: Millis = Millis::from_secs(10);

/// The maximum number of changes that `history` prints.
const HISTORY_MAX: usize = 1000;

/// Runs the action that the command line names.
pub fn run(arguments: &cli::Config) -> Exit {
    let store = Consul::new(arguments.store, STORE_TIMEOUT);
    let location = Location { store: &store, prefix: &arguments.prefix };
    match &arguments.action {
        Action::Get { section } => get(location, section.as_ref()),
        Action::History { section } => history(location, section.as_ref()),
        Action::Apply(arguments) => apply(location, arguments),
    }
}

/// Prints the text of each section to standard output, and its version to standard error.
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
    exit::print_note(format_args!("version={version}"));
    for section in &sections {
        exit::print_note(summary(section));
    }
    let texts = sections.iter().map(|section| match only {
        Some(_) => section.text.to_string(),
        None => format!("# {}\n{}\n", section.name, section.text.trim_end()),
    });
    exit::print(&texts.collect::<String>())
}

/// Formats a section's name, version and last change as one line.
fn summary(section: &Section) -> String {
    let reference = &section.reference;
    let at = audit::rfc3339(reference.changed_at);
    let pairs = Pairs(&[("version", &reference.version), ("who", &reference.who), ("at", &at)]);
    format!("section={}{pairs}", section.name)
}

/// Prints the audit trail, of one section or of all.
fn history(location: Location<'_>, only: Option<&Name>) -> Exit {
    match smol::block_on(operator::history(location, only, HISTORY_MAX)) {
        Ok(changes) => exit::print(&changes.iter().fold(String::new(), |mut text, change| {
            let _ = writeln!(text, "{}", entry(change));
            text
        })),
        Err(error) => Exit::Failed.because(error),
    }
}

/// Formats a change as one line of the audit trail.
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

/// Replaces a section and prints the audit trail's entry of the change.
fn apply(location: Location<'_>, arguments: &cli::Apply) -> Exit {
    let text = match arguments.file.text() {
        Ok(text) => text,
        Err(error) => return Exit::Usage.because(error),
    };
    let edit = Edit {
        section: &arguments.section,
        base: arguments.base,
        text: Some(&text),
        who: &arguments.who,
        why: &arguments.why,
    };
    match smol::block_on(operator::apply(location, edit, APPLY_TIMEOUT)) {
        Ok(change) => exit::print(&format!("{}\n", entry(&change))),
        Err(Rejection::Invalid(faults)) => {
            for fault in faults {
                exit::print_error(format_args!("{}: {fault}", arguments.file));
            }
            Exit::Usage
        }
        Err(rejection) => exit_code(&rejection).because(rejection),
    }
}

const fn exit_code(rejection: &Rejection) -> Exit {
    match rejection {
        Rejection::Invalid(_) => Exit::Usage,
        Rejection::Conflict { .. } => Exit::Refused,
        Rejection::Failed(_) => Exit::Failed,
        Rejection::Unknown { .. } => Exit::Unknown,
    }
}
