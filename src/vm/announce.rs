//! What a VM tells the others: which targets it owns, and how busy they are.

use std::sync::Arc;

use smol::Timer;

use crate::clock::Millis;
use crate::peer::Link;
use crate::wire::{Busy, Note, Owns};

use super::node::Node;

/// How often a VM tells how busy its targets are, where that has changed.
const BUSY_EVERY: Millis = Millis(100);

/// The change of free cores, in percent of all, that is worth telling.
const CHANGE_PERCENT: u64 = 5;

impl Node {
    fn owns(&self) -> Note {
        let core = self.lock();
        let targets = core.engine.owned().map(ToString::to_string).collect();
        let (round, draining) = (core.engine.round().max(core.round), self.is_draining());
        Note::Owns(Owns { targets, round, draining })
    }

    fn busy(&self) -> Busy {
        let load = self.lock().engine.load(self.clock.now());
        Busy { load, routes: self.routes.load().version }
    }

    /// Tells all VMs which targets this one owns, and how busy they are.
    pub(super) fn tell_owns(&self) {
        let (owns, busy) = (self.owns(), self.busy());
        for link in self.links.up().values() {
            link.note(owns.clone());
            link.note(Note::Busy(busy));
        }
    }

    /// Tells a VM to which a link has come up all that it needs to know.
    pub(super) fn greet(&self, link: &Link) {
        link.note(self.owns());
        link.note(Note::Busy(self.busy()));
    }

    /// Tells how busy the targets are, again and again.
    pub(super) async fn tell_busy(self: Arc<Self>) {
        let mut told = None::<Busy>;
        loop {
            Timer::after(BUSY_EVERY.duration()).await;
            let busy = self.busy();
            if told.is_some_and(|told| !is_news(&told, &busy)) {
                continue;
            }
            told = Some(busy);
            for link in self.links.up().values() {
                link.note(Note::Busy(busy));
            }
        }
    }
}

/// Whether a load differs enough from the one that was told.
fn is_news(told: &Busy, busy: &Busy) -> bool {
    let changed = told.load.free_cpu.abs_diff(busy.load.free_cpu) * 100;
    told.routes != busy.routes
        || told.load.total_cpu != busy.load.total_cpu
        || told.load.backlog != busy.load.backlog
        || changed > busy.load.total_cpu * CHANGE_PERCENT
}
