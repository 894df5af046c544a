//! Tests that drive separate processes over sockets.
