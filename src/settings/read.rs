//! Reads a YAML text into a type and reports every fault in it, not only the first.
//!
//! Serde stops at the first fault. So the field at fault is noted and taken out, and the rest is read
//! again until it passes.

use serde::de::DeserializeOwned;
use serde_norway::Value;
use serde_path_to_error::{Path, Segment};

use super::Fault;

/// The most faults that are reported at once.
const FAULTS_MAX: usize = 50;

/// Parses YAML. An empty text is an empty mapping.
pub fn parse(text: &str) -> Result<Value, Fault> {
    let value = serde_norway::from_str::<Value>(text).map_err(|error| {
        let place = error.location().map_or_else(
            || "line 1".to_owned(),
            |place| format!("line {} column {}", place.line(), place.column()),
        );
        Fault::new(&place, error, "mend the YAML there")
    })?;
    match value {
        Value::Null => Ok(Value::Mapping(serde_norway::Mapping::new())),
        value => Ok(value),
    }
}

/// Reads `root` as a `T`. Gives what could be read without the fields at fault, and all faults.
pub fn typed<T: DeserializeOwned>(root: &Value) -> (Option<T>, Vec<Fault>) {
    let mut reader = Reader { value: root.clone(), faults: Vec::new(), dropped: Vec::new() };
    while reader.faults.len() < FAULTS_MAX {
        match serde_path_to_error::deserialize::<_, T>(&reader.value) {
            Ok(read) => return (Some(read), reader.faults),
            Err(error) => {
                if !reader.set_aside(error.path(), &error.inner().to_string()) {
                    break;
                }
            }
        }
    }
    (None, reader.faults)
}

/// The value at a dotted path of mappings.
pub fn lookup<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(root, |value, name| value.get(name))
}

#[derive(Debug)]
struct Reader {
    value: Value,
    faults: Vec<Fault>,
    /// List items taken out: the path of the list and the index in the file.
    dropped: Vec<(String, usize)>,
}

impl Reader {
    /// Notes the fault at `path` and takes the field out. False if there is nothing to take out.
    fn set_aside(&mut self, path: &Path, message: &str) -> bool {
        let segments = path.iter().cloned().collect::<Vec<_>>();
        let mut place = self.original_path(&segments);
        let missing =
            message.strip_prefix("missing field `").and_then(|rest| rest.split('`').next());
        if let Some(field) = missing {
            place = join(&place, field);
        }
        if place.is_empty() {
            "the file".clone_into(&mut place);
        }
        let known = self.faults.iter().any(|fault| fault.path == place);
        if !known {
            let fault = match missing {
                Some(_) => Fault::missing(&place, "add it"),
                None => Fault::new(&place, shown(find(&self.value, &segments)), remedy(message)),
            };
            self.faults.push(fault);
        }
        self.take_out(&segments)
    }

    fn take_out(&mut self, segments: &[Segment]) -> bool {
        let Some((field, parents)) = segments.split_last() else { return false };
        let list = self.original_path(parents);
        let index = match field {
            Segment::Seq { index } => Some(self.original_index(&list, *index)),
            _ => None,
        };
        let removed = match (find_mut(&mut self.value, parents), field) {
            (Some(Value::Sequence(items)), Segment::Seq { index }) if *index < items.len() => {
                items.remove(*index);
                true
            }
            (Some(Value::Mapping(fields)), Segment::Map { key }) => {
                fields.shift_remove(key.as_str()).is_some()
            }
            _ => false,
        };
        if removed && let Some(index) = index {
            self.dropped.push((list, index));
            self.dropped.sort_unstable();
        }
        removed
    }

    /// The path in the file, with the indices as they were before items were taken out.
    fn original_path(&self, segments: &[Segment]) -> String {
        segments.iter().fold(String::new(), |path, segment| match segment {
            Segment::Seq { index } => format!("{path}[{}]", self.original_index(&path, *index)),
            Segment::Map { key } => join(&path, key),
            Segment::Enum { variant } => join(&path, variant),
            Segment::Unknown => path,
        })
    }

    fn original_index(&self, list: &str, index: usize) -> usize {
        let here = self.dropped.iter().filter(|(path, _)| path == list);
        here.fold(index, |index, (_, dropped)| index + usize::from(*dropped <= index))
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

fn shown(value: Option<&Value>) -> String {
    match value {
        None => String::new(),
        Some(Value::String(text)) => format!("{text:?}"),
        Some(Value::Mapping(_)) => "a mapping".to_owned(),
        Some(Value::Sequence(_)) => "a list".to_owned(),
        Some(value) => serde_norway::to_string(value).unwrap_or_default().trim_end().to_owned(),
    }
}

/// Serde's message in the words of a remedy.
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
