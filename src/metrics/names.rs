//! The names of all metrics. docs/METRICS.md explains each.

/// Defines an enumeration of metrics, each variant with the name that is sent.
macro_rules! metrics {
    ($(#[$about:meta])* $kind:ident { $($(#[$doc:meta])* $variant:ident = $name:literal,)+ }) => {
        $(#[$about])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $kind {
            $($(#[$doc])* $variant,)+
        }

        impl $kind {
            /// All of them, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// The name that is sent, without the prefix of the VM.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

metrics! {
    /// Events that are counted.
    Counter {
        /// Jobs accepted by this VM as their coordinator.
        JobsAccepted = "jobs.accepted",
        /// Submissions that joined a job or got its kept outcome.
        JobsJoined = "jobs.joined",
        /// Jobs that ended with every answer.
        JobsComplete = "jobs.complete",
        /// Jobs that ended with a failure after something had been executed, or may have been.
        JobsFailed = "jobs.failed",
        /// Submissions refused with nothing executed.
        JobsRefused = "jobs.refused",
        /// Submissions passed on to the VM that their key names.
        JobsRelayed = "jobs.relayed",
        /// Keys claimed in the store.
        KeysClaimed = "keys.claimed",
        /// Tasks written to a target.
        TasksStarted = "tasks.started",
        /// Tasks that a target refused unstarted.
        TasksRefused = "tasks.refused",
        /// Tasks that ran and failed.
        TasksFailed = "tasks.failed",
        /// Tasks whose outcome was lost.
        TasksLost = "tasks.lost",
        /// Further attempts at tasks of repeatable jobs.
        TasksRetried = "tasks.retried",
        /// Connections proved by a cheap request before use.
        TargetsProved = "targets.proved",
        /// Targets ejected for failing what they start.
        TargetsEjected = "targets.ejected",
        /// Frames sent to other VMs.
        PeerFrames = "peers.frames",
        /// Bytes sent to other VMs.
        PeerBytes = "peers.bytes",
        /// Links to other VMs given up.
        PeerLost = "peers.lost",
        /// Calls to the platform's store.
        StoreCalls = "store.calls",
        /// Calls to the platform's store that failed.
        StoreFailed = "store.failed",
        /// Versions of the configuration put in force.
        ConfigApplied = "config.applied",
        /// Requests of callers that could not be read.
        RequestsRejected = "requests.rejected",
        /// Connections of callers refused at the limit.
        ConnectionsRefused = "connections.refused",
    }
}

metrics! {
    /// Levels at the moment of sending.
    Gauge {
        /// Jobs that this VM coordinates and that have not ended.
        JobsRunning = "jobs.running",
        /// Tasks that wait for a slot.
        TasksQueued = "tasks.queued",
        /// Tasks at targets.
        TasksRunning = "tasks.running",
        /// Keys in the table.
        KeysHeld = "keys.held",
        /// Open connections of callers.
        Connections = "connections.open",
        /// Linked VMs.
        PeersLinked = "peers.linked",
        /// Targets that may get work.
        TargetsUsable = "targets.usable",
        /// The version of the configuration in force.
        ConfigVersion = "config.version",
        /// 1 if the last call to the store was answered, else 0.
        StoreReachable = "store.reachable",
    }
}

metrics! {
    /// Times, in milliseconds.
    Timer {
        /// From the arrival of a job at its coordinator to its end.
        JobTime = "jobs.time",
        /// From the start of a task to its answer.
        TaskTime = "tasks.time",
        /// From the arrival of a task to its start.
        QueueTime = "tasks.wait",
        /// A call to the store that does not watch.
        StoreTime = "store.time",
    }
}
