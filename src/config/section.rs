//! Sections: their names, their typed bodies, and their merge into one document.

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

/// The largest text of a section, in bytes. The store takes no more by default.
pub const TEXT_MAX_BYTES: usize = 512 << 10;

/// What a section holds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Bounds and policy; there is one such section.
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

    /// The field of the document.
    pub const fn field(self) -> &'static str {
        match self {
            Self::Limits => "limits",
            Self::Services => "services",
            Self::Targets => "targets",
            Self::Teams => "teams",
        }
    }
}

/// The name of a section: a field of the document, and a part of one that several teams share.
///
/// Its text is `targets`, `targets/a`, `teams/desk` or the like; `limits` has no parts.
#[derive(Clone, Debug, DeserializeFromStr, Eq, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct Name {
    /// What the section holds.
    pub kind: Kind,
    part: String,
}

impl Name {
    /// The section that holds all of a field.
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
        let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let sound = part
            .is_none_or(|part| !part.is_empty() && part.bytes().all(fits) && kind != Kind::Limits);
        if !sound || text.len() > NAME_MAX_BYTES {
            return Err(fault());
        }
        Ok(Self { kind, part: part.unwrap_or_default().to_owned() })
    }
}

/// The typed value of a section.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Of `limits`.
    Limits(Limits),
    /// Of `services` and its parts.
    Services(Vec<Service>),
    /// Of `targets` and its parts.
    Targets(Vec<Target>),
    /// Of `teams` and its parts.
    Teams(Vec<Team>),
}

impl Body {
    /// Reads the YAML text of a section. Gives every fault, each with its path.
    pub fn parse(name: &Name, text: &str) -> Result<Self, Vec<Fault>> {
        if text.len() > TEXT_MAX_BYTES {
            let value = format!("{} bytes", text.len());
            let remedy = format!("keep it within {TEXT_MAX_BYTES} bytes; split it into parts");
            return Err(vec![Fault::new(&name.to_string(), value, remedy)]);
        }
        let root = read::parse(text).map_err(|fault| vec![below(name, fault)])?;
        Self::from_value(name, &root)
    }

    fn from_value(name: &Name, root: &Value) -> Result<Self, Vec<Fault>> {
        match name.kind {
            Kind::Limits => typed(name, root).map(Self::Limits),
            Kind::Services => typed(name, &listed(root)).map(Self::Services),
            Kind::Targets => typed(name, &listed(root)).map(Self::Targets),
            Kind::Teams => typed(name, &listed(root)).map(Self::Teams),
        }
    }
}

/// An empty text was read as an empty mapping; in a list it stands for no items.
fn listed(root: &Value) -> Value {
    match root {
        Value::Mapping(mapping) if mapping.is_empty() => Value::Sequence(Vec::new()),
        root => root.clone(),
    }
}

fn typed<T: DeserializeOwned>(name: &Name, root: &Value) -> Result<T, Vec<Fault>> {
    let (value, faults) = read::typed(root);
    let faults = faults.into_iter().map(|fault| below(name, fault)).collect::<Vec<_>>();
    value.filter(|_| faults.is_empty()).ok_or(faults)
}

fn below(name: &Name, mut fault: Fault) -> Fault {
    let joint = match fault.path.get(..1) {
        None | Some("[") => "",
        Some(_) if fault.path.starts_with("line ") => " ",
        Some(_) => ".",
    };
    fault.path = format!("{name}{joint}{}", fault.path);
    fault
}

/// Puts sections together and checks the whole.
pub fn merge<'a>(
    sections: impl IntoIterator<Item = (&'a Name, &'a Body)>,
) -> Result<Document, Vec<Fault>> {
    let sections = sections.into_iter().collect::<BTreeMap<_, _>>();
    let faults = check::whole(&sections);
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

/// Reads and checks the YAML text of a whole document. Gives every fault, each with its path.
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
            Err(more) => faults.extend(more),
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
