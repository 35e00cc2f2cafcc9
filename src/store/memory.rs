//! A store in the memory of one process, for `gypsumkeel dev` and for tests.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use event_listener::Event;
use smol::Timer;
use smol::future::FutureExt as _;

use crate::clock::{Clock, Millis};

use super::calls::Counter;
use super::{Call, Calls, Condition, Entry, Error, Index, Read, Store, Vm};

/// Deleted keys whose index is remembered. Beyond that, all are forgotten and their last index counts for every key
/// and list.
const DELETIONS_MAX: usize = 10_000;

/// A store whose keys, sessions and VM lists are lost with the process.
#[derive(Debug)]
pub struct Memory {
    clock: Clock,
    state: Mutex<State>,
    changed: Event,
    counter: Counter,
}

#[derive(Clone, Debug, Default)]
struct State {
    index: Index,
    keys: BTreeMap<String, Slot>,
    /// The index at which each key was deleted.
    deleted: BTreeMap<String, Index>,
    /// The highest index of the deletions that are no longer in `deleted`.
    forgotten: Index,
    sessions: HashMap<String, Session>,
    next_session: u64,
    vms: HashMap<String, Read<Vec<Vm>>>,
}

#[derive(Clone, Debug)]
struct Slot {
    value: Vec<u8>,
    index: Index,
    session: Option<String>,
}

#[derive(Clone, Copy, Debug)]
struct Session {
    ttl: Millis,
    expires_at: Millis,
}

impl Memory {
    /// Creates an empty store. Sessions expire by `clock`.
    pub fn new(clock: Clock) -> Self {
        let (state, changed, counter) = (Mutex::default(), Event::new(), Counter::default());
        Self { clock, state, changed, counter }
    }

    /// Copies the state into a store that changes independently from now on.
    #[must_use]
    pub fn fork(&self) -> Self {
        let copy = Self::new(self.clock);
        *copy.lock() = self.lock().clone();
        copy
    }

    /// Replaces the VM list of `service`.
    pub fn set_vms(&self, service: &str, vms: Vec<Vm>) {
        let mut state = self.lock();
        let index = state.advance();
        state.vms.insert(service.to_owned(), Read { value: vms, index });
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// The value of a key, read without counting a call.
    pub fn peek(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().keys.get(key).map(|slot| slot.value.clone())
    }

    /// The keys under `prefix`, read without counting a call.
    pub fn peek_keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.with_prefix(prefix).map(|(key, _)| key.clone()).collect()
    }

    /// Expires all sessions at once.
    pub fn expire_sessions(&self) {
        let mut state = self.lock();
        let sessions = state.sessions.keys().cloned().collect::<Vec<_>>();
        for session in sessions {
            state.end_session(&session);
        }
        drop(state);
        self.changed.notify(usize::MAX);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire_sessions(self.clock.now());
        state
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        self.counter.write();
        let result = change(&mut self.lock());
        self.changed.notify(usize::MAX);
        result
    }

    async fn wait<T>(
        &self,
        after: Index,
        wait: Millis,
        read: impl Fn(&State) -> Read<T> + Send,
    ) -> Read<T> {
        match after {
            0 => self.counter.read(),
            _ => self.counter.watch(),
        }
        let deadline = self.clock.now() + wait;
        loop {
            let changed = self.changed.listen();
            let (result, expiry) = {
                let state = self.lock();
                (read(&state), state.next_expiry())
            };
            let now = self.clock.now();
            if after == 0 || result.index > after || now >= deadline {
                return result;
            }
            let pause = expiry.map_or(deadline, |expiry| expiry.min(deadline)) - now;
            let timeout = async {
                Timer::after(pause.duration().max(Millis(1).duration())).await;
            };
            changed.or(timeout).await;
        }
    }
}

impl State {
    fn advance(&mut self) -> Index {
        self.index += 1;
        self.index
    }

    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Slot)> {
        let keys = self.keys.range(prefix.to_owned()..);
        keys.take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let slot = self.keys.get(key)?;
        Some(Entry { key: key.to_owned(), value: slot.value.clone(), index: slot.index })
    }

    fn read(&self, key: &str) -> Read<Option<Entry>> {
        let value = self.entry(key);
        let deleted = self.deleted.get(key).copied().unwrap_or_default().max(self.forgotten).max(1);
        let index = value.as_ref().map_or(deleted, |entry| entry.index);
        Read { value, index }
    }

    fn list(&self, prefix: &str) -> Read<Vec<Entry>> {
        let value =
            self.with_prefix(prefix).filter_map(|(key, _)| self.entry(key)).collect::<Vec<_>>();
        let written = value.iter().map(|entry| entry.index).max().unwrap_or_default();
        let deleted = self.deleted.range(prefix.to_owned()..);
        let deleted = deleted.take_while(|(key, _)| key.starts_with(prefix));
        let deleted = deleted.map(|(_, &index)| index).max().unwrap_or_default();
        Read { value, index: written.max(deleted).max(self.forgotten).max(1) }
    }

    fn put(&mut self, key: &str, value: Vec<u8>, condition: Condition) -> bool {
        let present = self.keys.get(key).map(|slot| slot.index);
        let may_write = match condition {
            Condition::Always => true,
            Condition::Absent => present.is_none(),
            Condition::Unchanged(index) => present == Some(index),
        };
        if may_write {
            let index = self.advance();
            let session = self.keys.remove(key).and_then(|slot| slot.session);
            self.keys.insert(key.to_owned(), Slot { value, index, session });
        }
        may_write
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_none() {
            return;
        }
        let index = self.advance();
        self.deleted.insert(key.to_owned(), index);
        if self.deleted.len() > DELETIONS_MAX {
            self.deleted.clear();
            self.forgotten = index;
        }
    }

    fn acquire(&mut self, key: &str, value: Vec<u8>, session: &str) -> Result<bool, Error> {
        if !self.sessions.contains_key(session) {
            let text = format!("invalid session \"{session}\"");
            return Err(Error::Refused { status: 500, text });
        }
        let holder = self.keys.get(key).and_then(|slot| slot.session.as_deref());
        if holder.is_some_and(|holder| holder != session) {
            return Ok(false);
        }
        let index = self.advance();
        self.keys.insert(key.to_owned(), Slot { value, index, session: Some(session.to_owned()) });
        Ok(true)
    }

    fn open_session(&mut self, ttl: Millis, now: Millis) -> String {
        self.next_session += 1;
        let id = format!("session-{}", self.next_session);
        self.sessions.insert(id.clone(), Session { ttl, expires_at: now + ttl });
        id
    }

    fn renew_session(&mut self, id: &str, now: Millis) -> bool {
        let session = self.sessions.get_mut(id);
        session.map(|session| session.expires_at = now + session.ttl).is_some()
    }

    fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        let held = self.keys.iter().filter(|(_, slot)| slot.session.as_deref() == Some(id));
        let held = held.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        for key in held {
            self.delete(&key);
        }
    }

    fn expire_sessions(&mut self, now: Millis) {
        let expired = self.sessions.iter().filter(|(_, session)| session.expires_at <= now);
        let expired = expired.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for id in expired {
            self.end_session(&id);
        }
    }

    fn next_expiry(&self) -> Option<Millis> {
        self.sessions.values().map(|session| session.expires_at).min()
    }

    fn vms(&self, service: &str) -> Read<Vec<Vm>> {
        self.vms.get(service).cloned().unwrap_or(Read { value: Vec::new(), index: 1 })
    }
}

impl Store for Memory {
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Entry>> {
        self.counter.read();
        Box::pin(async move { Ok(self.lock().entry(key)) })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Option<Entry>>> {
        Box::pin(async move { Ok(self.wait(after, wait, |state| state.read(key)).await) })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Index,
        wait: Millis,
    ) -> Call<'a, Read<Vec<Entry>>> {
        Box::pin(async move { Ok(self.wait(after, wait, |state| state.list(prefix)).await) })
    }

    fn put<'a>(&'a self, key: &'a str, value: Vec<u8>, condition: Condition) -> Call<'a, bool> {
        Box::pin(async move { Ok(self.change(|state| state.put(key, value, condition))) })
    }

    fn delete<'a>(&'a self, key: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            self.change(|state| state.delete(key));
            Ok(())
        })
    }

    fn open_session(&self, ttl: Millis) -> Call<'_, String> {
        let now = self.clock.now();
        Box::pin(async move { Ok(self.change(|state| state.open_session(ttl, now))) })
    }

    fn renew_session<'a>(&'a self, session: &'a str) -> Call<'a, bool> {
        let now = self.clock.now();
        Box::pin(async move { Ok(self.change(|state| state.renew_session(session, now))) })
    }

    fn end_session<'a>(&'a self, session: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            self.change(|state| state.end_session(session));
            Ok(())
        })
    }

    fn acquire<'a>(&'a self, key: &'a str, value: Vec<u8>, session: &'a str) -> Call<'a, bool> {
        Box::pin(async move { self.change(|state| state.acquire(key, value, session)) })
    }

    fn vms<'a>(&'a self, service: &'a str, after: Index, wait: Millis) -> Call<'a, Read<Vec<Vm>>> {
        Box::pin(async move { Ok(self.wait(after, wait, |state| state.vms(service)).await) })
    }

    fn calls(&self) -> Calls {
        self.counter.calls()
    }
}
