//! The `check` command, which reports every error in a settings or configuration file.

use std::fmt::Display;

use serde_norway::Value;

use crate::cli::Input;
use crate::config;
use crate::exit::{self, Exit};
use crate::platform;
use crate::settings::{Fault, Settings, read};

/// The sections that only a configuration has. Both kinds of file have `targets`: a list in a configuration, a
/// mapping in settings.
const CONFIGURATION_SECTIONS: [&str; 3] = ["services", "limits", "teams"];

/// Checks one file. Prints its kind if it is valid, else every error in it.
pub fn run(file: &Input) -> Exit {
    let text = match file.text() {
        Ok(text) => text,
        Err(error) => return Exit::Usage.because(error),
    };
    if platform::Settings::recognizes(&text) {
        let faults = platform::Settings::parse(&text).err().unwrap_or_default();
        return report(file, "settings of the platform", &faults);
    }
    let (kind, faults) = check(&text);
    report(file, kind, &faults)
}

/// Prints the kind of a valid file, or the faults of an invalid one.
fn report(file: &Input, kind: &str, faults: &[impl Display]) -> Exit {
    if faults.is_empty() {
        return exit::print(&format!("{file}: valid {kind}\n"));
    }
    for fault in faults {
        exit::print_error(format_args!("{file}: {fault}"));
    }
    Exit::Usage
}

/// Checks settings or a configuration. Returns the kind of the text and its faults.
fn check(text: &str) -> (&'static str, Vec<Fault>) {
    match read::parse(text) {
        Err(fault) => ("YAML", vec![fault]),
        Ok(root) if is_configuration(&root) => {
            ("configuration", config::parse_document(text).err().unwrap_or_default())
        }
        Ok(_) => ("settings", Settings::parse(text).err().unwrap_or_default()),
    }
}

fn is_configuration(root: &Value) -> bool {
    let lists_targets = root.get("targets").is_some_and(Value::is_sequence);
    lists_targets || CONFIGURATION_SECTIONS.iter().any(|section| root.get(section).is_some())
}
