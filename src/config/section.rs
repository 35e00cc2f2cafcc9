//! Sections: their names, their typed bodies, and how they are merged into one document.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde_norway::Value;
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::settings::{Fault, read};

use super::{Document, Limits, Service, Target, Team, check};

/// The longest name of a section, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// The largest text of a section, in bytes: the largest value that the store accepts by default.
pub const TEXT_MAX_BYTES: usize = 512 << 10;

/// What a section holds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Bounds on load, and policy. There is only one such section.
    Limits,
    /// A list of services.
    Services,
    /// A list of targets.
    Targets,
    /// A list of teams.
    Teams,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Targets, Self::Services, Self::Limits, Self::Teams];

    /// The name of the document's field that sections of this kind belong to.
    pub const fn field(self) -> &'static str {
        match self {
            Self::Limits => "limits",
            Self::Services => "services",
            Self::Targets => "targets",
            Self::Teams => "teams",
        }
    }
}

/// The name of a section: a field of the document, and the part of it if the field is split into several.
///
/// It is written as `targets`, `targets/a` or `teams/desk`. The field `limits` has no parts.
#[derive(Clone, Debug, DeserializeFromStr, Eq, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct Name {
    /// What the section holds.
    pub kind: Kind,
    part: String,
}

impl Name {
    /// The name of the section that holds a whole field.
    pub const fn whole(kind: Kind) -> Self {
        Self { kind, part: String::new() }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind.field())?;
        if self.part.is_empty() { Ok(()) } else { write!(f, "/{}", self.part) }
    }
}

impl FromStr for Name {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        let remedy = "use targets, services or teams, with a part after '/' if wanted \
                      (letters, digits, '-', '_', '.'), or limits";
        let fault = || Fault::new("section", format!("{text:?}"), remedy);
        let (field, part) =
            text.split_once('/').map_or((text, None), |(field, part)| (field, Some(part)));
        let kind = Kind::ALL.into_iter().find(|kind| kind.field() == field).ok_or_else(fault)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let is_part = |part: &str| !part.is_empty() && part.bytes().all(is_allowed);
        let valid = part.is_none_or(|part| is_part(part) && kind != Kind::Limits);
        if !valid || text.len() > NAME_MAX_BYTES {
            return Err(fault());
        }
        Ok(Self { kind, part: part.unwrap_or_default().to_owned() })
    }
}

/// The typed value of a section.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// The body of `limits`.
    Limits(Limits),
    /// The body of `services` or of a part of it.
    Services(Vec<Service>),
    /// The body of `targets` or of a part of it.
    Targets(Vec<Target>),
    /// The body of `teams` or of a part of it.
    Teams(Vec<Team>),
}

impl Body {
    /// Parses the YAML text of a section. On failure returns every fault, each with its path.
    pub fn parse(name: &Name, text: &str) -> Result<Self, Vec<Fault>> {
        if text.len() > TEXT_MAX_BYTES {
            let value = format!("{} bytes", text.len());
            let remedy = format!("keep it within {TEXT_MAX_BYTES} bytes; split it into parts");
            return Err(vec![Fault::new(&name.to_string(), value, remedy)]);
        }
        let root = read::parse(text).map_err(|fault| vec![in_section(name, fault)])?;
        Self::from_value(name, &root)
    }

    fn from_value(name: &Name, root: &Value) -> Result<Self, Vec<Fault>> {
        match name.kind {
            Kind::Limits => typed(name, root).map(Self::Limits),
            Kind::Services => typed(name, &list(root)).map(Self::Services),
            Kind::Targets => typed(name, &list(root)).map(Self::Targets),
            Kind::Teams => typed(name, &list(root)).map(Self::Teams),
        }
    }
}

/// An empty text parses as an empty mapping; where a list is expected it means an empty list.
fn list(root: &Value) -> Value {
    match root {
        Value::Mapping(mapping) if mapping.is_empty() => Value::Sequence(Vec::new()),
        root => root.clone(),
    }
}

fn typed<T: DeserializeOwned>(name: &Name, root: &Value) -> Result<T, Vec<Fault>> {
    let (value, faults) = read::typed(root);
    let faults = faults.into_iter().map(|fault| in_section(name, fault)).collect::<Vec<_>>();
    value.filter(|_| faults.is_empty()).ok_or(faults)
}

/// Puts the section's name before the path of a fault in its text.
fn in_section(name: &Name, mut fault: Fault) -> Fault {
    let separator = match fault.path.get(..1) {
        None | Some("[") => "",
        Some(_) if fault.path.starts_with("line ") => " ",
        Some(_) => ".",
    };
    fault.path = format!("{name}{separator}{}", fault.path);
    fault
}

/// Merges sections into a document and validates it. On failure returns every fault, each with its path.
pub fn merge<'a>(
    sections: impl IntoIterator<Item = (&'a Name, &'a Body)>,
) -> Result<Document, Vec<Fault>> {
    let sections = sections.into_iter().collect::<BTreeMap<_, _>>();
    let faults = check::sections(&sections);
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut document = Document::default();
    for body in sections.into_values() {
        match body {
            Body::Limits(limits) => document.limits = limits.clone(),
            Body::Services(services) => document.services.extend_from_slice(services),
            Body::Targets(targets) => document.targets.extend_from_slice(targets),
            Body::Teams(teams) => document.teams.extend_from_slice(teams),
        }
    }
    Ok(document)
}

/// Parses and validates the YAML text of a whole document. On failure returns every fault, each with its path.
pub fn parse_document(text: &str) -> Result<Document, Vec<Fault>> {
    let root = read::parse(text).map_err(|fault| vec![fault])?;
    let Value::Mapping(fields) = &root else {
        let remedy = "write the fields targets, services, limits and teams";
        return Err(vec![Fault::new("document", "not a mapping", remedy)]);
    };
    let mut sections = BTreeMap::new();
    let mut faults = Vec::new();
    for (field, value) in fields {
        let field = field.as_str().unwrap_or_default();
        let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.field() == field) else {
            let remedy = "unknown field; use targets, services, limits or teams";
            faults.push(Fault::new(field, "unknown", remedy));
            continue;
        };
        let name = Name::whole(kind);
        match Body::from_value(&name, value) {
            Ok(body) => drop(sections.insert(name, body)),
            Err(found) => faults.extend(found),
        }
    }
    match (merge(&sections), faults.is_empty()) {
        (Ok(document), true) => Ok(document),
        (merged, _) => {
            faults.extend(merged.err().unwrap_or_default());
            Err(faults)
        }
    }
}
