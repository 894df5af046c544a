//! Log events 1000 to 1999, see `docs/events.md`.

catkindeck::log_events! {
    /// The process started.
    ENTRY_STARTED = 1000, "entry_started", Info, "entry started";
    /// The process cannot start.
    ENTRY_FAILED = 1001, "entry_failed", Error, "entry cannot start";
    /// The caller address is served.
    CALLER_LISTENING = 1010, "caller_listening", Info, "caller address is served";
    /// A connection could not be accepted.
    ACCEPT_FAILED = 1011, "accept_failed", Warning, "a connection could not be accepted";
    /// The connection was lost within a request's body.
    REQUEST_INTERRUPTED = 1012, "request_interrupted", Debug, "connection was lost within a request's body";
    /// A handler ended with a defect.
    HANDLER_FAILED = 1013, "handler_failed", Error, "a request ended by a defect of this process";
    /// A configuration is in use.
    CONFIG_IN_USE = 1020, "config_in_use", Info, "configuration is in use";
    /// The configuration file cannot be used.
    CONFIG_FILE_REJECTED = 1021, "config_file_rejected", Error, "configuration file cannot be used, the last one stays";
    /// A request was answered.
    REQUEST_ANSWERED = 1030, "request_answered", Debug, "request was answered";
    /// An attempt failed.
    ATTEMPT_FAILED = 1031, "attempt_failed", Info, "attempt failed";
    /// A request is tried again.
    REQUEST_RETRIED = 1032, "request_retried", Info, "request is tried again";
    /// An agent broke the protocol.
    ANSWER_REJECTED = 1033, "answer_rejected", Error, "answer of an agent broke the protocol and was rejected";
    /// An outcome that was unknown is proved.
    OUTCOME_RESOLVED = 1034, "outcome_resolved", Info, "outcome of an attempt was resolved";
    /// The outcome of a request stays unknown.
    OUTCOME_UNKNOWN = 1035, "outcome_unknown", Warning, "outcome of a request stays unknown";
    /// A stream ended because its key was revoked.
    STREAM_REVOKED = 1036, "stream_revoked", Info, "stream ended because its key was revoked";
    /// A body crashed an upstream.
    BODY_CRASHED_UPSTREAM = 1040, "body_crashed_upstream", Warning, "upstream crashed while it ran a request";
    /// A body is quarantined.
    BODY_QUARANTINED = 1041, "body_quarantined", Warning, "request body is quarantined";
    /// Crash reports could not be shared.
    CRASH_SHARE_FAILED = 1042, "crash_share_failed", Warning, "crash reports could not be shared with a peer";
    /// A peer asked for something that its role may not ask.
    PEER_REFUSED = 1050, "peer_refused", Warning, "peer was refused";
    /// Agents did not drop acknowledged samples.
    SAMPLES_UNRELEASED = 1060, "samples_unreleased", Warning, "agents could not be told that samples were acknowledged";
    /// Control work could not be started.
    CONTROL_FAILED = 1061, "control_failed", Error, "control work could not be started and is tried again";
}
