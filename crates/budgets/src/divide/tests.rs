use super::*;
use proptest::prelude::*;

fn asks(needs: &[u64]) -> Vec<Asks> {
    needs.iter().map(|need| Asks { need: *need, ..Asks::default() }).collect()
}

#[test]
fn a_need_that_walks_takes_what_the_others_leave() {
    for at in 0..4 {
        let mut needs = [10_000; 4];
        needs[at] = 900_000;
        let parts = parts(1_000_000, 1000, &asks(&needs), &mut Credits::new());
        assert!(parts[at] >= 900_000, "{parts:?}");
    }
}

#[test]
fn a_budget_smaller_than_the_fleet_goes_round() {
    let mut credits = Credits::new();
    let mut had = [0; 12];
    for _ in 0..120 {
        let parts = parts(3000, 1000, &asks(&[5000; 12]), &mut credits);
        assert_eq!(parts.iter().sum::<u64>(), 3000);
        had.iter_mut().zip(&parts).for_each(|(had, part)| *had += part / 1000);
    }
    assert!(had.iter().all(|had| (29..=31).contains(had)), "{had:?}");
}

#[test]
fn importance_counts_only_among_those_in_want() {
    let mut asks = asks(&[600_000, 600_000, 30_000]);
    asks[0].importance = 2;
    let parts = parts(630_000, 1000, &asks, &mut Credits::new());
    assert_eq!(parts, [400_000, 200_000, 30_000]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    /// Never more than the pool; nobody in want beside a greater part of equal importance than its own.
    #[test]
    fn parts_add_up_and_are_fair(
        pool in 0u64..2_000_000,
        quantum in 1u64..2000,
        needs in proptest::collection::vec((0u64..500_000, 1u64..4, 0u64..500_000), 1..40),
        rounds in 1usize..5,
    ) {
        let asks: Vec<Asks> =
            needs.iter().map(|(need, importance, has)| Asks { need: *need, importance: *importance, has: *has }).collect();
        let mut credits = Credits::new();
        for _ in 0..rounds {
            let parts = parts(pool, quantum, &asks, &mut credits);
            prop_assert!(parts.iter().sum::<u64>() <= pool);
            for (one, other) in (0..asks.len()).flat_map(|a| (0..asks.len()).map(move |b| (a, b))) {
                if asks[one].importance == asks[other].importance && parts[one] + quantum <= asks[one].need {
                    prop_assert!(parts[other] <= parts[one] + 2 * quantum, "{} {}", parts[one], parts[other]);
                }
            }
            let wanted: u64 = asks.iter().map(|a| a.need).sum();
            if wanted >= pool {
                let unused = pool - parts.iter().sum::<u64>();
                prop_assert!(unused < quantum || asks.iter().zip(&parts).all(|(a, p)| *p >= a.need), "{unused}");
            }
        }
    }
}
