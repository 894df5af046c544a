//! Property tests of the sorted map.

use {catkindeck::SortedMap, proptest::prelude::*, std::collections::BTreeMap};

proptest! {
    /// Guards against lost entries or a wrong order: after each change the map must equal the
    /// standard library's `BTreeMap`.
    #[test]
    fn behaves_like_a_tree_map(operations in prop::collection::vec((0u8..20, any::<bool>(), any::<u16>()), 0..200)) {
        let mut map = SortedMap::new();
        let mut model = BTreeMap::new();
        for (key, insert, value) in operations {
            if insert {
                prop_assert_eq!(map.insert(key, value), model.insert(key, value));
            } else {
                prop_assert_eq!(map.remove(&key), model.remove(&key));
            }
            prop_assert!(map.iter().eq(model.iter()));
            prop_assert_eq!(map.get(&key), model.get(&key));
        }
    }
}
