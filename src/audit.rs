//! Logs a line for each configuration change that comes into force on this VM.
//!
//! The audit trail itself is kept in the store, with the head; see [`config::Change`](crate::config::Change).

use crate::clock::Millis;
use crate::config::Snapshot;
use crate::event;

/// Logs the changes between two versions. Changes that `to` no longer lists share one line.
pub fn log_applied(from: &Snapshot, to: &Snapshot) {
    let applied = to.changes.iter().filter(|change| change.version > from.version);
    let first = applied.clone().next().map_or(to.version + 1, |change| change.version);
    if first > from.version + 1 {
        let last = first - 1;
        event!(
            info,
            "config-applied",
            version = last,
            from = from.version,
            reason = "the changes up to this version are no longer listed"
        );
    }
    for change in applied {
        let hash = change.hash.map_or_else(|| "removed".to_owned(), |hash| hash.to_string());
        event!(
            info,
            "config-applied",
            version = change.version,
            section = change.section,
            section_version = change.section_version,
            hash = hash,
            who = change.who,
            at = rfc3339(change.changed_at),
            change = change.id,
            why = change.why,
        );
    }
}

/// Formats a time since the Unix epoch as RFC 3339.
pub fn rfc3339(since_epoch: Millis) -> String {
    let time = std::time::UNIX_EPOCH + since_epoch.duration();
    humantime::format_rfc3339_millis(time).to_string()
}
