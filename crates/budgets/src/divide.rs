//! Divides a budget's pool among gateways: weighted max-min fairness by need and importance, in whole quanta.
//!
//! Needs are filled evenly until all are met or the pool is used up. If all are met, half of the surplus is spread evenly, so
//! that a gateway has headroom before it has asked; the other half stays for later requests. Quanta too few for everybody
//! rotate, by what each gateway has lost to rounding so far.

/// One gateway's request for a share of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareRequest {
    /// Beyond its floor.
    pub need: u64,
    /// In contention, double importance gets a double share. Zero counts as one.
    pub importance: u64,
    /// What it holds of the budget now.
    pub held: u64,
}

/// What each gateway has lost of its fair share by rounding, in milliunits; the sum stays near zero.
pub type Credits = Vec<i64>;

/// One share per request, in multiples of `quantum`, together never more than `pool`.
pub fn allocate(pool: u64, quantum: u64, requests: &[ShareRequest], credits: &mut Credits) -> Vec<u64> {
    let quantum = quantum.max(1);
    credits.resize(requests.len(), 0);
    let fair = max_min_fair(pool, requests);
    let mut shares: Vec<u64> = fair.iter().map(|share| share - share % quantum).collect();
    let mut remaining = pool - shares.iter().sum::<u64>();
    for (credit, (fair, share)) in credits.iter_mut().zip(fair.iter().zip(&shares)) {
        *credit = credit.saturating_add((fair - share) as i64).clamp(-(1 << 40), 1 << 40);
    }
    // A gateway keeps a quantum that it still needs against others of equal credit: otherwise shares oscillate.
    let mut unmet: Vec<usize> = (0..requests.len()).filter(|at| shares[*at] < requests[*at].need).collect();
    unmet.sort_by_key(|at| {
        let hysteresis = if requests[*at].held > shares[*at] { quantum as i64 / 2 } else { 0 };
        (std::cmp::Reverse(credits[*at].saturating_add(hysteresis)), *at)
    });
    for at in unmet {
        if remaining < quantum {
            break;
        }
        shares[at] += quantum;
        remaining -= quantum;
        credits[at] -= quantum as i64;
    }
    spread_surplus(remaining, quantum, requests, &mut shares);
    shares
}

/// Spreads half of the surplus evenly, if every need is met.
fn spread_surplus(surplus: u64, quantum: u64, requests: &[ShareRequest], shares: &mut [u64]) {
    if requests.is_empty() || requests.iter().zip(shares.iter()).any(|(request, share)| *share < request.need)
    {
        return;
    }
    let each = surplus / 2 / requests.len() as u64;
    let each = each - each % quantum;
    shares.iter_mut().for_each(|share| *share += each);
}

/// Weighted max-min shares before rounding: a level per unit of importance is raised until the pool is used up.
fn max_min_fair(pool: u64, requests: &[ShareRequest]) -> Vec<u64> {
    let mut fair = vec![0; requests.len()];
    let mut by_level: Vec<usize> = (0..requests.len()).filter(|at| requests[*at].need > 0).collect();
    // In the order of the level at which they are met, so that one pass is enough.
    by_level.sort_by_key(|at| (requests[*at].need / requests[*at].importance.max(1), *at));
    let mut remaining = u128::from(pool);
    let mut total_weight: u128 = by_level.iter().map(|at| u128::from(requests[*at].importance.max(1))).sum();
    for at in by_level {
        let weight = u128::from(requests[at].importance.max(1));
        let share = u128::from(requests[at].need).min(remaining * weight / total_weight);
        fair[at] = share as u64;
        remaining -= share;
        total_weight -= weight;
    }
    fair
}

#[cfg(test)]
mod tests;
