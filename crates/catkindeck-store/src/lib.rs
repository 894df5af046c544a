//! Clients of the platform's interfaces: key-value service, host list, availability-zone orders, usage reports, weight store.
