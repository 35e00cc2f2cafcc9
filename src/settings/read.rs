//! Deserializes YAML into a type and reports every fault in it, not only the first.
//!
//! Serde stops at the first error. The field at fault is therefore recorded and removed, and the rest is
//! deserialized again until it succeeds.

use serde::de::DeserializeOwned;
use serde_norway::Value;
use serde_path_to_error::{Path, Segment};

use super::Fault;

/// Deserialization stops after this number of faults.
const FAULTS_MAX: usize = 50;

/// Parses YAML text. Empty text parses as an empty mapping.
pub fn parse(text: &str) -> Result<Value, Fault> {
    let value = serde_norway::from_str::<Value>(text).map_err(|error| {
        let position = error.location().map_or_else(
            || "line 1".to_owned(),
            |location| format!("line {} column {}", location.line(), location.column()),
        );
        Fault::new(&position, error, "fix the YAML syntax there")
    })?;
    match value {
        Value::Null => Ok(Value::Mapping(serde_norway::Mapping::new())),
        value => Ok(value),
    }
}

/// Deserializes `root` as a `T`. Returns the value that results without the fields at fault, if there is
/// one, and all faults.
pub fn typed<T: DeserializeOwned>(root: &Value) -> (Option<T>, Vec<Fault>) {
    let mut reader = Reader { value: root.clone(), faults: Vec::new(), removed: Vec::new() };
    while reader.faults.len() < FAULTS_MAX {
        match serde_path_to_error::deserialize::<_, T>(&reader.value) {
            Ok(value) => return (Some(value), reader.faults),
            Err(error) => {
                if !reader.record_and_remove(error.path(), &error.inner().to_string()) {
                    break;
                }
            }
        }
    }
    (None, reader.faults)
}

/// Returns the value at a dotted path of mapping keys.
pub fn lookup<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(root, |value, name| value.get(name))
}

/// The state of a deserialization that is repeated after each fault.
#[derive(Debug)]
struct Reader {
    /// The document without the fields at fault.
    value: Value,
    faults: Vec<Fault>,
    /// The list items removed so far: the path of the list and the item's index in the file, sorted.
    removed: Vec<(String, usize)>,
}

impl Reader {
    /// Records the fault at `path` and removes the field. Returns whether a field was removed.
    fn record_and_remove(&mut self, path: &Path, message: &str) -> bool {
        let segments = path.iter().cloned().collect::<Vec<_>>();
        let mut full_path = self.original_path(&segments);
        let missing =
            message.strip_prefix("missing field `").and_then(|rest| rest.split('`').next());
        if let Some(field) = missing {
            full_path = join(&full_path, field);
        }
        if full_path.is_empty() {
            "the file".clone_into(&mut full_path);
        }
        let is_known = self.faults.iter().any(|fault| fault.path == full_path);
        if !is_known {
            let value = describe(find(&self.value, &segments));
            let fault = match missing {
                Some(_) => Fault::missing(&full_path, "add it"),
                None => Fault::new(&full_path, value, remedy(message)),
            };
            self.faults.push(fault);
        }
        self.remove(&segments)
    }

    /// Removes the field at `segments` from the document. Returns whether it was there.
    fn remove(&mut self, segments: &[Segment]) -> bool {
        let Some((field, parents)) = segments.split_last() else { return false };
        let list = self.original_path(parents);
        let index = match field {
            Segment::Seq { index } => Some(self.original_index(&list, *index)),
            _ => None,
        };
        let was_removed = match (find_mut(&mut self.value, parents), field) {
            (Some(Value::Sequence(items)), Segment::Seq { index }) if *index < items.len() => {
                items.remove(*index);
                true
            }
            (Some(Value::Mapping(fields)), Segment::Map { key }) => {
                fields.shift_remove(key.as_str()).is_some()
            }
            _ => false,
        };
        if was_removed && let Some(index) = index {
            self.removed.push((list, index));
            self.removed.sort_unstable();
        }
        was_removed
    }

    /// Returns the path in the file, with list indices as they were before any item was removed.
    fn original_path(&self, segments: &[Segment]) -> String {
        segments.iter().fold(String::new(), |path, segment| match segment {
            Segment::Seq { index } => format!("{path}[{}]", self.original_index(&path, *index)),
            Segment::Map { key } => join(&path, key),
            Segment::Enum { variant } => join(&path, variant),
            Segment::Unknown => path,
        })
    }

    /// Returns the index in the file of the item that is now at `index` of the list at path `list`.
    fn original_index(&self, list: &str, index: usize) -> usize {
        let in_list = self.removed.iter().filter(|(path, _)| path == list);
        in_list.fold(index, |index, (_, removed)| index + usize::from(*removed <= index))
    }
}

fn join(path: &str, field: &str) -> String {
    if path.is_empty() { field.to_owned() } else { format!("{path}.{field}") }
}

fn find<'a>(root: &'a Value, segments: &[Segment]) -> Option<&'a Value> {
    segments.iter().try_fold(root, |value, segment| match segment {
        Segment::Seq { index } => value.get(*index),
        Segment::Map { key } => value.get(key.as_str()),
        Segment::Enum { .. } | Segment::Unknown => Some(value),
    })
}

fn find_mut<'a>(root: &'a mut Value, segments: &[Segment]) -> Option<&'a mut Value> {
    segments.iter().try_fold(root, |value, segment| match segment {
        Segment::Seq { index } => value.get_mut(*index),
        Segment::Map { key } => value.get_mut(key.as_str()),
        Segment::Enum { .. } | Segment::Unknown => Some(value),
    })
}

/// Formats a rejected value for a message.
fn describe(value: Option<&Value>) -> String {
    match value {
        None => String::new(),
        Some(Value::String(text)) => format!("{text:?}"),
        Some(Value::Mapping(_)) => "a mapping".to_owned(),
        Some(Value::Sequence(_)) => "a list".to_owned(),
        Some(value) => serde_norway::to_string(value).unwrap_or_default().trim_end().to_owned(),
    }
}

/// Turns Serde's error message into a remedy.
fn remedy(message: &str) -> String {
    if message.contains("socket address") {
        return "give it as IP:PORT, such as 192.0.2.1:7100".to_owned();
    }
    if let Some(known) = message.strip_prefix("unknown field ") {
        let known = known.split_once(", ").map_or(known, |(_, known)| known);
        return format!("no such field; {}", known.replace("expected", "use"));
    }
    if message.contains("expected struct") {
        return "expected a mapping of fields".to_owned();
    }
    match message.split_once("expected ") {
        Some((_, expected)) => format!("expected {expected}"),
        None => message.to_owned(),
    }
}
