//! The operators' command line, load tool and burn report.
