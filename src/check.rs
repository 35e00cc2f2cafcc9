//! The `check` command, which reports every error in a settings or configuration file.

use std::fmt::Display;

use serde_norway::Value;

use crate::cli::Input;
use crate::config;
use crate::exit::{self, Exit};
use crate::platform;
use crate::platform::review::{self, Configuration};
use crate::settings::{Fault, Settings, read};

/// The sections that only a configuration has. Both kinds of file have `targets`: a list in a configuration, a
/// mapping in settings.
const CONFIGURATION_SECTIONS: [&str; 3] = ["services", "limits", "teams"];

/// Checks one file. Prints its kind if it is valid, else every error in it. A configuration of the platform is also
/// compared with the one in `against`.
pub fn run(file: &Input, against: Option<&Input>, json: bool) -> Exit {
    let text = match file.text() {
        Ok(text) => text,
        Err(error) => return Exit::Usage.because(error),
    };
    if let Some(root) = read::parse(&text).ok().filter(review::recognizes) {
        return review_configuration(file, &root, against, json);
    }
    if against.is_some() {
        let detail = "is no configuration of the platform; leave --against out";
        return Exit::Usage.because(format_args!("{file}: {detail}"));
    }
    if platform::Settings::recognizes(&text) {
        let faults = platform::Settings::parse(&text).err().unwrap_or_default();
        return report(file, "settings of the platform", &faults);
    }
    let (kind, faults) = check(&text);
    report(file, kind, &faults)
}

/// Reviews a configuration of the platform, and compares it with the one in `against`.
fn review_configuration(file: &Input, root: &Value, against: Option<&Input>, json: bool) -> Exit {
    let (configuration, mut faults) = review::review(root);
    let mut changes = Vec::new();
    if let Some(against) = against {
        let other = match read_other(against) {
            Ok(other) => other,
            Err(error) => return Exit::Usage.because(error),
        };
        if let Some(configuration) = &configuration {
            faults.extend(configuration.stale_since(&other));
            changes = configuration.changes_since(&other);
        }
    }
    if json {
        let faults = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
        let is_valid = faults.is_empty();
        let output = serde_json::json!({ "valid": is_valid, "faults": faults, "changes": changes });
        let printed = exit::print(&format!("{output}\n"));
        return if is_valid { printed } else { Exit::Usage };
    }
    let code = report(file, "configuration of the platform", &faults);
    let mut lines = changes.iter().map(ToString::to_string).collect::<Vec<_>>();
    lines.push(String::new());
    match exit::print(&lines.join("\n")) {
        Exit::Done => code,
        failed => failed,
    }
}

/// Reads the configuration to compare with. Its own faults don't matter as long as it can be read.
fn read_other(file: &Input) -> Result<Configuration, String> {
    let text = file.text().map_err(|error| error.to_string())?;
    let root = read::parse(&text).map_err(|fault| format!("{file}: {fault}"))?;
    let (configuration, _) = review::review(&root);
    configuration.ok_or_else(|| {
        format!("{file}: can't be read as a configuration of the platform; name the one in force")
    })
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
