use super::*;
use proptest::prelude::*;

fn limits() -> impl Strategy<Value = Limits> {
    let kinds = proptest::collection::btree_set("[ab]", 0..3);
    let parts = (proptest::bool::weighted(0.2), proptest::option::of(0u32..3), proptest::option::of(kinds));
    parts.prop_map(|(forbidden, executions, kinds)| Limits { forbidden, executions, kinds })
}

fn rules() -> impl Strategy<Value = Rules> {
    let table = || proptest::collection::btree_map("[xyz]", limits(), 0..3);
    let parts = (table(), table(), proptest::option::of(table()));
    parts.prop_map(|(workloads, customers, alone)| Rules { workloads, customers, alone })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Beside every statement there can be: where it says that a later one covers, none passes alone that the later forbids.
    #[test]
    fn what_is_covered_is_permitted(earlier in rules(), later in rules()) {
        let covers = later.covers_alone(&earlier).is_ok();
        for workload in ["x", "y", "z", "w"] {
            for customer in [None, Some("x"), Some("y"), Some("q")] {
                for (kind, before) in [("a", 0), ("b", 0), ("a", 2), ("c", 1), ("b", 9)] {
                    let asked = Asked { workload, customer, kind, before };
                    if covers && earlier.permits_alone(&asked) {
                        prop_assert!(later.permits(&asked), "{:?}", asked);
                    }
                }
            }
        }
        prop_assert!(earlier.covers_alone(&earlier).is_ok());
        prop_assert!(Rules::default().covers_alone(&earlier).is_ok());
    }
}
