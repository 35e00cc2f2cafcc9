//! Decoding of entries that are read again and again.

use std::collections::{HashMap, HashSet};

use super::{Entry, Index};

/// Decodes the entries of a list and caches the results, so that each version of an entry is decoded once, and a faulty
/// one logged once.
#[derive(Debug)]
pub struct Decoder<T> {
    by_key: HashMap<String, (Index, Option<T>)>,
}

impl<T> Default for Decoder<T> {
    fn default() -> Self {
        Self { by_key: HashMap::new() }
    }
}

impl<T: Clone> Decoder<T> {
    /// Decodes all entries of a list, and drops the cached results of keys that it does not hold. `decode` logs a faulty
    /// entry and returns `None`.
    pub fn decode(&mut self, entries: &[Entry], decode: impl Fn(&Entry) -> Option<T>) -> Vec<T> {
        let decoded = entries.iter().filter_map(|entry| self.decode_one(entry, &decode));
        let decoded = decoded.collect();
        if self.by_key.len() > entries.len() {
            let keys = entries.iter().map(|entry| entry.key.as_str()).collect::<HashSet<_>>();
            self.by_key.retain(|key, _| keys.contains(key.as_str()));
        }
        decoded
    }

    fn decode_one(&mut self, entry: &Entry, decode: impl Fn(&Entry) -> Option<T>) -> Option<T> {
        if let Some((index, value)) = self.by_key.get(&entry.key)
            && *index == entry.index
        {
            return value.clone();
        }
        let value = decode(entry);
        self.by_key.insert(entry.key.clone(), (entry.index, value.clone()));
        value
    }
}
