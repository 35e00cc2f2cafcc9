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
        /// Submissions by this VM that were answered whole.
        JobsComplete = "jobs.complete",
        /// Submissions by this VM that failed after something was executed, or may have been.
        JobsFailed = "jobs.failed",
        /// Submissions by this VM that were refused with nothing executed.
        JobsRefused = "jobs.refused",
        /// Jobs refused at the queue.
        QueueRefused = "queue.refused",
        /// First attempts at tasks.
        TasksStarted = "tasks.started",
        /// Further attempts at tasks, spare copies among them.
        FurtherAttempts = "tasks.again",
        /// Spare copies, which are among the further attempts.
        TasksHedged = "tasks.spare",
        /// Tasks handed to VMs of other domains.
        TasksDelegated = "tasks.over",
        /// Tasks taken from VMs of other domains.
        TasksAccepted = "tasks.adopted",
        /// Attempts that a full target refused unstarted.
        TasksFull = "tasks.full",
        /// Attempts that never reached a target.
        TasksUnsent = "tasks.unsent",
        /// Attempts that ran and failed.
        TasksFailed = "tasks.failed",
        /// Attempts whose outcome was lost.
        TasksLost = "tasks.lost",
        /// Attempts at tasks of jobs that got no answer.
        TasksWasted = "tasks.useless",
        /// Trial starts on ejected targets.
        TrialAttempts = "targets.tried",
        /// Messages about slots to other VMs.
        SlotMessages = "slots.messages",
        /// Frames to other VMs that are heartbeats or news.
        PeerControlFrames = "peers.control_frames",
        /// Their bytes.
        PeerControlBytes = "peers.control_bytes",
        /// Frames to other VMs that pass on jobs, tasks and answers.
        PeerJobFrames = "peers.job_frames",
        /// Their bytes.
        PeerJobBytes = "peers.job_bytes",
        /// Reads of the store that did not wait.
        StoreReads = "store.reads",
        /// Writes to the store.
        StoreWrites = "store.writes",
        /// Reads of the store that waited for a change.
        StoreWatches = "store.watches",
        /// Calls to the store without an answer.
        StoreUnanswered = "store.unanswered",
        /// Calls that the store refused.
        StoreRefused = "store.refused",
        /// Log lines that were left out.
        LinesOmitted = "logs.omitted",
        /// Versions of the configuration that came into force.
        ConfigApplied = "config.applied",
        /// Answers and news older than the version in force.
        ConfigStale = "config.stale",
        /// News of the configuration that could not be taken.
        ConfigRefused = "config.refused",
        /// Batches of which every task is done.
        BatchesDone = "batches.done",
        /// Batches with a task that failed as often as its queue allows.
        BatchesFailed = "batches.failed",
        /// Batches whose time ran out after tasks had been started.
        BatchesExpired = "batches.expired",
        /// Batches that were refused with nothing started.
        BatchesRefused = "batches.refused",
        /// Batches whose caller left before their end.
        BatchesAbandoned = "batches.abandoned",
        /// Starts sent to leased targets.
        LeasedStarts = "leased.starts",
        /// Stops sent to leased targets.
        LeasedStops = "leased.stops",
        /// Renewals of leases that were sent.
        LeasedPolls = "leased.holds",
        /// Calls to leased targets without an answer.
        LeasedLost = "leased.lost",
        /// Calls that leased targets refused.
        LeasedDenied = "leased.denied",
        /// Renewals of leases that were sent late.
        LeasesLate = "leases.late",
        /// Tasks that were given up since their lease had lapsed.
        LeasesLapsed = "leases.lapsed",
        /// Leased targets that this VM took over.
        TargetsAcquired = "targets.taken",
        /// Leased targets that another VM took from this one.
        TargetsFenced = "targets.fenced",
        /// Leased targets that this VM released or that are gone.
        TargetsReleased = "targets.left",
    }
}

metrics! {
    /// Levels at the moment of sending.
    Gauge {
        /// Jobs without an outcome that this VM coordinates.
        JobsRunning = "jobs.running",
        /// Tasks that wait for a slot.
        TasksWaiting = "tasks.waiting",
        /// Attempts without an end.
        TasksOpen = "tasks.open",
        /// Targets that are ejected.
        TargetsEjected = "targets.ejected",
        /// Keys in the table.
        KeysHeld = "keys.held",
        /// Open connections of callers.
        ConnectionsOpen = "connections.open",
        /// Requests of callers whose answers are not written yet.
        RequestsBusy = "requests.busy",
        /// Linked VMs.
        PeersLinked = "peers.linked",
        /// The version of the configuration in force.
        ConfigVersion = "config.version",
        /// 1 while the VM drains, else 0.
        Draining = "draining",
        /// The version of the routes in force.
        RoutesVersion = "routes.version",
        /// Leased targets that this VM owns.
        TargetsOwned = "targets.owned",
        /// Thousandths of cores of the owned, sound targets that are free.
        CpuFree = "targets.cpu_free",
        /// Thousandths of cores of the owned targets that tasks have taken.
        CpuUsed = "targets.cpu_used",
        /// Thousandths of cores of owned targets that get nothing for a while.
        CpuEjected = "targets.cpu_resting",
        /// Thousandths of cores of owned targets of which it is not known what runs there.
        CpuUnsynced = "targets.cpu_unclear",
        /// Thousandths of cores of owned targets that leave.
        CpuDraining = "targets.cpu_draining",
        /// Milliseconds since the list of targets was read.
        TargetsAge = "targets.age",
        /// Milliseconds since the routes came into force.
        RoutesAge = "routes.age",
        /// Batches of which no task has started.
        BatchesWaiting = "batches.waiting",
        /// Milliseconds that all owned targets together need for what waits.
        Backlog = "batches.backlog",
    }
}

metrics! {
    /// Times, in milliseconds.
    Timer {
        /// From the arrival of a whole submission at this VM to its answer.
        JobTime = "jobs.time",
        /// From the start of an attempt to its end.
        TaskTime = "tasks.time",
        /// From the arrival of a batch at this VM to its answer.
        Batch = "batches.time",
        /// From the arrival of a batch at the owner of its targets to its first start.
        Wait = "batches.wait",
        /// From a start that is sent to a leased target to its answer.
        Start = "leased.start_time",
    }
}
