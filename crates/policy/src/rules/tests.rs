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
    /// Where a later revision covers an earlier one, no execution that an isolated gateway may send under the
    /// earlier one is forbidden by the later one.
    #[test]
    fn covered_executions_are_permitted(earlier in rules(), later in rules()) {
        let covers = later.covers_alone(&earlier).is_ok();
        for workload in ["x", "y", "z", "w"] {
            for customer in [None, Some("x"), Some("y"), Some("q")] {
                for (kind, prior_executions) in [("a", 0), ("b", 0), ("a", 2), ("c", 1), ("b", 9)] {
                    let request = ExecutionRequest { workload, customer, kind, prior_executions };
                    if covers && earlier.permits_alone(&request) {
                        prop_assert!(later.permits(&request), "{:?}", request);
                    }
                }
            }
        }
        prop_assert!(earlier.covers_alone(&earlier).is_ok());
        prop_assert!(Rules::default().covers_alone(&earlier).is_ok());
    }
}
