//! What callers are told about jobs that they may not use.

use {
    catkindeck::{ErrorKind, ServiceError, id::ObjectName},
    catkindeck_gateway::jobs::access::JobCaller,
};

fn error(kind: ErrorKind) -> ServiceError {
    ServiceError::not_run(kind, "detail")
}

/// Guards against callers without a valid key who can tell a job of a customer from one that does not exist, and against a
/// 401 or 404 from a process whose configuration is too old to know.
#[test]
fn a_refusal_tells_no_more_than_the_caller_may_know() {
    use ErrorKind::{NotFound, StaleConfiguration, StoreUnavailable, Unauthenticated};

    let name = ObjectName::try_from("vault").expect("a valid name");
    let customer = JobCaller::Customer(name.clone());
    assert_eq!(customer.customer(), Some(&name));
    let keyless = JobCaller::Unidentified(error(Unauthenticated));
    let unchecked = JobCaller::Unidentified(error(StaleConfiguration));
    assert_eq!((keyless.customer(), unchecked.customer()), (None, None));
    let told = |caller: &JobCaller| {
        [NotFound, Unauthenticated, StoreUnavailable].map(|kind| caller.explain(error(kind)).kind)
    };

    assert_eq!(
        told(&customer),
        [NotFound, Unauthenticated, StoreUnavailable]
    );
    assert_eq!(
        told(&keyless),
        [Unauthenticated, Unauthenticated, StoreUnavailable]
    );
    assert_eq!(
        told(&unchecked),
        [StaleConfiguration, StaleConfiguration, StoreUnavailable]
    );
    // Without customers there are no keys, and a job of a customer shows that some have come since.
    assert_eq!(
        told(&JobCaller::Anyone),
        [NotFound, StaleConfiguration, StoreUnavailable]
    );
}
