//! The names of all metrics. `docs/METRICS.md` documents each.

/// Defines an enum of metrics, with the name that is sent for each variant.
macro_rules! metrics {
    ($(#[$about:meta])* $kind:ident { $($(#[$doc:meta])* $variant:ident = $name:literal,)+ }) => {
        $(#[$about])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $kind {
            $($(#[$doc])* $variant,)+
        }

        impl $kind {
            /// All variants, in the order of their discriminants.
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
    /// Counters of events since the start.
    Counter {
        /// Submissions that this VM answered with all results.
        JobsComplete = "jobs.complete",
        /// Submissions that this VM answered as failed after something was executed, or may have been.
        JobsFailed = "jobs.failed",
        /// Submissions that this VM refused with nothing executed.
        JobsRefused = "jobs.refused",
        /// Jobs that the queue refused.
        QueueRefused = "queue.refused",
        /// First attempts at tasks.
        TasksStarted = "tasks.started",
        /// Attempts at tasks after the first, hedged attempts included.
        FurtherAttempts = "tasks.again",
        /// Hedged attempts.
        TasksHedged = "tasks.spare",
        /// Tasks delegated to VMs of other domains.
        TasksDelegated = "tasks.over",
        /// Delegated tasks accepted from VMs of other domains.
        TasksAccepted = "tasks.adopted",
        /// Attempts that a full target refused to start.
        TasksFull = "tasks.full",
        /// Attempts that never reached a target.
        TasksUnsent = "tasks.unsent",
        /// Attempts that ran and failed.
        TasksFailed = "tasks.failed",
        /// Attempts whose outcome was lost.
        TasksLost = "tasks.lost",
        /// Attempts at tasks of jobs that failed, counted when the job fails.
        TasksWasted = "tasks.useless",
        /// Trial attempts on ejected targets.
        TrialAttempts = "targets.tried",
        /// Messages about slots sent to other VMs.
        SlotMessages = "slots.messages",
        /// Heartbeats and announcements sent to other VMs.
        PeerControlFrames = "peers.control_frames",
        /// Bytes of the control frames.
        PeerControlBytes = "peers.control_bytes",
        /// Frames with jobs, tasks and answers sent to other VMs.
        PeerJobFrames = "peers.job_frames",
        /// Bytes of the job frames.
        PeerJobBytes = "peers.job_bytes",
        /// Reads of the store, without those that wait for a change.
        StoreReads = "store.reads",
        /// Writes to the store.
        StoreWrites = "store.writes",
        /// Reads of the store that wait for a change.
        StoreWatches = "store.watches",
        /// Calls to the store that got no response.
        StoreUnanswered = "store.unanswered",
        /// Calls that the store refused, with status 429 or 5xx.
        StoreRefused = "store.refused",
        /// Log lines that were omitted.
        LinesOmitted = "logs.omitted",
        /// Versions of the configuration that were applied.
        ConfigApplied = "config.applied",
        /// Responses of the store or announcements of peers with a configuration older than the one in force.
        ConfigStale = "config.stale",
        /// Changes of the configuration that could not be applied.
        ConfigRefused = "config.refused",
        /// Batches whose tasks all completed.
        BatchesDone = "batches.done",
        /// Batches with a task that failed as often as its queue allows.
        BatchesFailed = "batches.failed",
        /// Batches whose deadline passed after tasks had been started.
        BatchesExpired = "batches.expired",
        /// Batches that were refused with nothing started.
        BatchesRefused = "batches.refused",
        /// Batches that were cancelled on request.
        BatchesCancelled = "batches.cancelled",
        /// Batches whose caller disconnected before their end.
        BatchesAbandoned = "batches.abandoned",
        /// Times for which this VM stood still so long that the other VMs gave their links to it up.
        Standstills = "standstills",
        /// Start calls sent to leased targets.
        LeasedStarts = "leased.starts",
        /// Stop calls sent to leased targets.
        LeasedStops = "leased.stops",
        /// Polls sent to leased targets, which renew their leases.
        LeasedPolls = "leased.holds",
        /// Calls to leased targets that got no response in time or could not be sent.
        LeasedLost = "leased.lost",
        /// Calls that leased targets refused.
        LeasedDenied = "leased.denied",
        /// Renewals that were sent when over half of the lease had passed.
        LeasesLate = "leases.late",
        /// Tasks that were given up because the lease on their target had lapsed.
        LeasesLapsed = "leases.lapsed",
        /// Fetches of the routes from other VMs.
        RoutesFetches = "routes.fetches",
        /// Bytes of routes that other VMs returned.
        RoutesFetchedBytes = "routes.fetched_bytes",
        /// Callers' connections that were closed in favour of others, as they made no progress.
        CallersEvicted = "connections.evicted",
        /// Leased targets that this VM acquired.
        TargetsAcquired = "targets.taken",
        /// Leased targets that this VM lost because another VM took them over.
        TargetsFenced = "targets.fenced",
        /// Leased targets that this VM released or that no longer exist.
        TargetsReleased = "targets.left",
    }
}

metrics! {
    /// Values at the time of the report.
    Gauge {
        /// Jobs that this VM coordinates and that have no outcome yet.
        JobsRunning = "jobs.running",
        /// Tasks that are waiting for a slot.
        TasksWaiting = "tasks.waiting",
        /// Attempts that have not ended.
        TasksOpen = "tasks.open",
        /// Targets that are ejected.
        TargetsEjected = "targets.ejected",
        /// Keys in the job table.
        KeysHeld = "keys.held",
        /// Open connections of callers.
        ConnectionsOpen = "connections.open",
        /// Bytes of requests that callers have sent and that are not answered yet.
        HeldBytes = "connections.held_bytes",
        /// Requests of callers whose responses have not been written.
        RequestsBusy = "requests.busy",
        /// VMs with a link to this one.
        PeersLinked = "peers.linked",
        /// The version of the configuration in force.
        ConfigVersion = "config.version",
        /// 1 while the VM drains, 0 otherwise.
        Draining = "draining",
        /// The version of the routes in force.
        RoutesVersion = "routes.version",
        /// Leased targets that this VM owns.
        TargetsOwned = "targets.owned",
        /// Free thousandths of a core on healthy owned targets.
        CpuFree = "targets.cpu_free",
        /// Thousandths of a core that tasks use on owned targets.
        CpuUsed = "targets.cpu_used",
        /// Thousandths of a core on owned targets that are ejected.
        CpuEjected = "targets.cpu_resting",
        /// Thousandths of a core on unsynced owned targets, where it is not known what runs.
        CpuUnsynced = "targets.cpu_unclear",
        /// Thousandths of a core on owned targets that are draining.
        CpuDraining = "targets.cpu_draining",
        /// Thousandths of a core on owned targets in evacuated failure domains.
        CpuEvacuated = "targets.cpu_evacuated",
        /// Failure domains that the operator has evacuated.
        DomainsEvacuated = "domains.evacuated",
        /// Milliseconds since the list of targets was last read.
        TargetsAge = "targets.age",
        /// Milliseconds since the routes were applied.
        RoutesAge = "routes.age",
        /// Milliseconds since the store last answered a read of the routes.
        RoutesReadAge = "routes.read_age",
        /// Batches none of whose tasks has started.
        BatchesWaiting = "batches.waiting",
        /// Milliseconds that all owned targets together need for the waiting work.
        Backlog = "batches.backlog",
    }
}

metrics! {
    /// Times, in milliseconds.
    Timer {
        /// From the complete arrival of a submission at this VM to its answer.
        JobTime = "jobs.time",
        /// From the start of an attempt to its end.
        TaskTime = "tasks.time",
        /// From the arrival of a batch at this VM to its answer.
        Batch = "batches.time",
        /// From the arrival of a batch at the owner of its targets to the start of its first task.
        Wait = "batches.wait",
        /// From the time at which a tick was due to the tick.
        TickLag = "ticks.lag",
        /// From the sending of a start call to a leased target to its response or timeout.
        Start = "leased.start_time",
    }
}
