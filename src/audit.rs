//! The audit trail as seen by a VM: one log line for each change that comes into force.
//!
//! The trail itself is kept with the head in the store; see [`config::Change`](crate::config::Change).

use crate::clock::Millis;
use crate::config::Snapshot;
use crate::event;

/// Logs every change between two versions. Those too long ago to be told apart share one line.
pub fn log_applied(from: &Snapshot, to: &Snapshot) {
    let news = to.changes.iter().filter(|change| change.version > from.version);
    let first = news.clone().next().map_or(to.version + 1, |change| change.version);
    if first > from.version + 1 {
        let last = first - 1;
        event!(info, "config-applied", version = last, from = from.version, reason = "caught up");
    }
    for change in news {
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

/// A time since the Unix epoch as RFC 3339.
pub fn rfc3339(at: Millis) -> String {
    let time = std::time::UNIX_EPOCH + at.duration();
    humantime::format_rfc3339_millis(time).to_string()
}
