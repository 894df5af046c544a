//! Log events 1000 to 1999; see `docs/events.md`.

catkindeck::log_events! {
    ENTRY_STARTED = 1000, "entry_started", Info, "entry started";
    ENTRY_FAILED = 1001, "entry_failed", Error, "entry cannot start";
    CALLER_LISTENING = 1010, "caller_listening", Info, "listening for callers";
    ACCEPT_FAILED = 1011, "accept_failed", Warning, "connection could not be accepted";
    REQUEST_INTERRUPTED = 1012, "request_interrupted", Debug, "connection was lost while a request body was read";
    HANDLER_FAILED = 1013, "handler_failed", Error, "request handler panicked, which is a bug in this process";
    CONFIG_IN_USE = 1020, "config_in_use", Info, "new configuration revision is in use";
    CONFIG_FILE_REJECTED = 1021, "config_file_rejected", Error, "configuration file is invalid, the previous configuration stays in use";
    REQUEST_ANSWERED = 1030, "request_answered", Debug, "request was answered";
    ATTEMPT_FAILED = 1031, "attempt_failed", Info, "attempt failed";
    REQUEST_RETRIED = 1032, "request_retried", Info, "request is retried";
    ANSWER_REJECTED = 1033, "answer_rejected", Error, "response of an agent violated the protocol and was rejected";
    /// The outcome of an attempt was unknown and has been resolved by its agent.
    OUTCOME_RESOLVED = 1034, "outcome_resolved", Info, "outcome of an attempt was resolved";
    OUTCOME_UNKNOWN = 1035, "outcome_unknown", Warning, "outcome of a request remains unknown";
    STREAM_REVOKED = 1036, "stream_revoked", Info, "stream ended because its key was revoked";
    BODY_CRASHED_UPSTREAM = 1040, "body_crashed_upstream", Warning, "upstream crashed while it ran a request";
    BODY_QUARANTINED = 1041, "body_quarantined", Warning, "request body is quarantined";
    CRASH_SHARE_FAILED = 1042, "crash_share_failed", Warning, "crash reports could not be sent to other entries";
    /// A call was rejected because of the peer's role, or failed.
    PEER_REFUSED = 1050, "peer_refused", Warning, "call from a peer was refused or failed";
    SAMPLES_UNRELEASED = 1060, "samples_unreleased", Warning, "some agents could not be told to release acknowledged samples";
    CONTROL_FAILED = 1061, "control_failed", Error, "thread of a training run could not be started, will retry";
}
