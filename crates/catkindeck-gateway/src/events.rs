//! Log events 8000 to 8999, see `docs/events.md`.

catkindeck::log_events! {
    /// The process serves.
    GATEWAY_STARTED = 8100, "gateway_started", Info, "gateway started";
    /// The process cannot start.
    GATEWAY_FAILED = 8101, "gateway_failed", Error, "gateway cannot start";
    /// The process was asked to end.
    GATEWAY_LEAVING = 8102, "gateway_leaving", Info, "gateway leaves and finishes what it has";
    /// The process ends.
    GATEWAY_STOPPED = 8103, "gateway_stopped", Info, "gateway stopped";
    /// Jobs could not be handed over in time.
    HAND_OVER_CUT = 8106, "hand_over_cut", Warning, "jobs could not be handed over in time";
    /// The address for metrics cannot be opened.
    METRICS_UNSERVED = 8107, "metrics_unserved", Error, "address for metrics cannot be opened";
    /// The settings were read again.
    SETTINGS_RELOADED = 8104, "settings_reloaded", Info, "settings were read again";
    /// The settings cannot be used.
    SETTINGS_REJECTED = 8105, "settings_rejected", Error, "settings cannot be used, the last ones stay";
    /// The store does not answer.
    STORE_LOST = 8110, "store_lost", Warning, "store does not answer";
    /// The store answers again.
    STORE_REGAINED = 8111, "store_regained", Info, "store answers again";
    /// Calls to the store are made by peers.
    STORE_RELAYED = 8117, "store_relayed", Warning, "store does not answer this process, peers make its calls";
    /// Another process reads from the store for this one.
    FEED_REGAINED = 8115, "feed_regained", Info, "another process reads from the store for this one";
    /// No other process reads from the store for this one.
    FEED_LOST = 8116, "feed_lost", Info, "process reads from the store itself";
    /// A record in the store cannot be read.
    INTENT_FAULT = 8112, "intent_fault", Warning, "record in the store cannot be read and is left out";
    /// A configuration is in use.
    CONFIG_IN_USE = 8113, "configuration_in_use", Info, "configuration is in use";
    /// Availability zones went out or came back.
    ZONES_CHANGED = 8114, "zones_changed", Info, "availability zones went out or came back";
    /// An upstream appeared or started again.
    UPSTREAM_APPEARED = 8120, "upstream_appeared", Info, "upstream appeared";
    /// An upstream drains.
    UPSTREAM_DRAINING = 8121, "upstream_draining", Info, "upstream drains and gets no new work";
    /// An upstream is gone.
    UPSTREAM_GONE = 8122, "upstream_gone", Info, "upstream is gone";
    /// A request was answered.
    REQUEST_ANSWERED = 8130, "request_done", Info, "request was answered";
    /// A request was refused or failed.
    REQUEST_REFUSED = 8131, "request_refused", Info, "request was refused or failed";
    /// A stream ended.
    STREAM_ENDED = 8134, "stream_ended", Info, "stream ended";
    /// An attempt failed.
    ATTEMPT_FAILED = 8132, "upstream_attempt_failed", Info, "attempt at an upstream failed";
    /// A slow request was also sent to another upstream.
    ATTEMPT_HEDGED = 8133, "attempt_hedged", Info, "slow request was also sent to another upstream";
    /// A job was accepted.
    JOB_ACCEPTED = 8140, "job_accepted", Info, "job was accepted";
    /// A job was not accepted.
    JOB_REFUSED = 8141, "job_refused", Warning, "job was not accepted";
    /// A job was taken over.
    JOB_TAKEN_OVER = 8142, "job_taken_over", Info, "job was taken over";
    /// A job is owned by another process.
    JOB_LOST = 8143, "job_lost", Warning, "job is owned by another process, its runs here end";
    /// A job was ended.
    JOB_ENDED = 8144, "job_ended", Info, "job was ended by its caller";
    /// All items of a job are listed.
    JOB_WHOLE = 8145, "job_whole", Info, "all items of a job are listed";
    /// An item started.
    ITEM_STARTED = 8146, "item_started", Info, "item was sent to an upstream";
    /// A run of an item ended.
    ITEM_RUN_ENDED = 8147, "item_run_ended", Info, "run of an item ended";
    /// Results were listed.
    RESULTS_LISTED = 8148, "results_listed", Info, "results were stored and are listed";
    /// An item was given up.
    ITEM_GIVEN_UP = 8156, "item_given_up", Info, "item was given up and is listed as aborted";
    /// Results could not be stored.
    RESULTS_UNSTORED = 8149, "results_unstored", Warning, "results could not be stored and are tried again";
    /// A job was handed over.
    JOB_HANDED_OVER = 8150, "job_handed_over", Info, "job was handed over to another process";
    /// An item was scored.
    ITEM_SCORED = 8151, "item_scored", Info, "item was scored";
    /// Scoring failed.
    SCORER_FAILED = 8152, "scorer_failed", Info, "scorer call failed";
    /// Jobs could not be confirmed.
    JOBS_UNCONFIRMED = 8153, "jobs_unconfirmed", Warning, "it could not be confirmed that jobs are still owned, and is tried again";
    /// Copies of texts could not be sent.
    COPIES_UNSENT = 8154, "copies_unsent", Info, "copies of running texts could not be sent";
    /// A copy of a job's texts was fetched.
    COPY_FETCHED = 8155, "copy_fetched", Info, "copy of a job's texts was fetched";
    /// Texts could not be stored.
    TEXTS_UNSTORED = 8157, "texts_unstored", Info, "texts of running items could not be stored";
    /// The session lease is held.
    SESSION_STARTED = 8160, "session_started", Info, "process is registered under a lease";
    /// The session lease is lost.
    SESSION_LOST = 8161, "session_lost", Warning, "lease of the process ended";
    /// The session lease was not renewed in time.
    SESSION_UNRENEWED = 8162, "session_unrenewed", Warning, "lease of the process could not be renewed";
    /// This process does the control work.
    LEADERSHIP_ACQUIRED = 8163, "control_held", Info, "process does the control work";
    /// This process no longer does the control work.
    LEADERSHIP_RELEASED = 8164, "control_released", Info, "process does the control work no longer";
    /// Weights were ordered.
    LOAD_ORDERED = 8170, "load_ordered", Info, "upstream was ordered to load weights";
    /// An order failed.
    LOAD_FAILED = 8171, "load_failed", Warning, "order to load weights failed or is in doubt";
    /// A usage window was sealed.
    USAGE_SEALED = 8172, "usage_sealed", Info, "usage window was sealed";
    /// A usage window was reported.
    USAGE_REPORTED = 8173, "usage_reported", Info, "usage window was reported";
    /// A usage window could not be reported.
    USAGE_FAILED = 8174, "usage_failed", Warning, "usage window could not be reported and is tried again";
    /// A host was found empty.
    HOST_EMPTIED = 8175, "host_emptied", Info, "host holds nothing and may be taken away";
    /// Control work failed.
    MAINTENANCE_FAILED = 8176, "control_work_failed", Warning, "control work failed and is tried again";
    /// A peer does not answer.
    PEER_FAILED = 8180, "peer_failed", Info, "another process of the system does not answer";
    /// A peer was reached through another one.
    PEER_RELAYED = 8181, "peer_relayed", Info, "another process of the system was reached through a third one";
}
