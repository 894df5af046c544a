//! The desired state as a process applies it.

use {
    catkindeck::{
        config::{ConfigSnapshot, KeyRecord, RouteRecord},
        direct::RouteOptions,
        id::{KeyDigest, ObjectName},
    },
    catkindeck_gateway::{
        intent::IntentView,
        port::{DecodedConfig, DecodedIntent, KeyPolicy},
    },
};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("it is valid")
}

fn route(open: bool) -> RouteRecord {
    RouteRecord {
        name: name("desk"),
        service: name("desks"),
        open,
        idempotent: true,
        timeout_ms: 1_000,
        terms: RouteOptions::default(),
    }
}

/// Guards against requests on an open route that are refused for the customer of their key and served for nobody: the
/// customer then never counted as served, and always returned before the others.
#[test]
fn a_request_on_an_open_route_counts_for_no_customer() {
    let key = KeyRecord {
        digest: KeyDigest::of("key-one"),
        customer: name("vault"),
        label: name("vault-1"),
    };
    let config = ConfigSnapshot {
        keys: vec![key],
        ..ConfigSnapshot::default()
    };
    let mut view = IntentView::default();
    view.apply(DecodedIntent {
        config: DecodedConfig::New {
            config: Box::new(config),
            key_policy: KeyPolicy::Required,
            revision: 1,
        },
        ..DecodedIntent::default()
    });

    for key in [Some("key-one"), Some("key-unknown"), None] {
        assert_eq!(view.customer_of(&route(true), key), None, "{key:?}");
    }
    let customer = view.customer_of(&route(false), Some("key-one"));
    assert_eq!(customer, Some(&name("vault")));
    for key in [Some("key-unknown"), None] {
        assert_eq!(view.customer_of(&route(false), key), None, "{key:?}");
    }
}
