//! Transport between the processes: quinn with mutual TLS behind blocking channels.
