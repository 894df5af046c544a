//! The daemon on entry hosts: HTTP for callers, trainers and operators.
