use super::*;
use proptest::prelude::*;

fn requests(needs: &[u64]) -> Vec<ShareRequest> {
    needs.iter().map(|need| ShareRequest { need: *need, ..ShareRequest::default() }).collect()
}

#[test]
fn a_single_large_need_gets_what_the_others_do_not_need() {
    for at in 0..4 {
        let mut needs = [10_000; 4];
        needs[at] = 900_000;
        let shares = allocate(1_000_000, 1000, &requests(&needs), &mut Credits::new());
        assert!(shares[at] >= 900_000, "{shares:?}");
    }
}

#[test]
fn a_budget_smaller_than_the_fleet_rotates() {
    let mut credits = Credits::new();
    let mut totals = [0; 12];
    for _ in 0..120 {
        let shares = allocate(3000, 1000, &requests(&[5000; 12]), &mut credits);
        assert_eq!(shares.iter().sum::<u64>(), 3000);
        totals.iter_mut().zip(&shares).for_each(|(total, share)| *total += share / 1000);
    }
    assert!(totals.iter().all(|total| (29..=31).contains(total)), "{totals:?}");
}

#[test]
fn importance_counts_only_in_contention() {
    let mut requests = requests(&[600_000, 600_000, 30_000]);
    requests[0].importance = 2;
    let shares = allocate(630_000, 1000, &requests, &mut Credits::new());
    assert_eq!(shares, [400_000, 200_000, 30_000]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    /// Shares never exceed the pool, and no unmet request has a smaller share than another of equal importance.
    #[test]
    fn shares_add_up_and_are_fair(
        pool in 0u64..2_000_000,
        quantum in 1u64..2000,
        needs in proptest::collection::vec((0u64..500_000, 1u64..4, 0u64..500_000), 1..40),
        rounds in 1usize..5,
    ) {
        let requests: Vec<ShareRequest> =
            needs.iter().map(|(need, importance, held)| ShareRequest { need: *need, importance: *importance, held: *held }).collect();
        let mut credits = Credits::new();
        for _ in 0..rounds {
            let shares = allocate(pool, quantum, &requests, &mut credits);
            prop_assert!(shares.iter().sum::<u64>() <= pool);
            for (one, other) in (0..requests.len()).flat_map(|a| (0..requests.len()).map(move |b| (a, b))) {
                if requests[one].importance == requests[other].importance && shares[one] + quantum <= requests[one].need {
                    prop_assert!(shares[other] <= shares[one] + 2 * quantum, "{} {}", shares[one], shares[other]);
                }
            }
            let total_need: u64 = requests.iter().map(|r| r.need).sum();
            if total_need >= pool {
                let unused = pool - shares.iter().sum::<u64>();
                prop_assert!(unused < quantum || requests.iter().zip(&shares).all(|(r, s)| *s >= r.need), "{unused}");
            }
        }
    }
}
