//! Health, readiness and metrics on an address of their own, and graceful drain.
