//! Who gets how much: max-min fair by need and importance, in whole quanta.
//!
//! All needs are filled evenly until each is met or nothing is left. Half of what no one needs is spread evenly, so that a
//! gateway has room before it has asked; the other half stays for whoever asks next. What is too little for everybody goes in
//! turn, by what each has missed so far.

/// What one gateway asks for of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asks {
    /// Beyond its floor.
    pub need: u64,
    /// Of two that need more than there is, one of double importance gets double. Zero counts as one.
    pub importance: u64,
    /// What it has of the budget now.
    pub has: u64,
}

/// What each gateway has missed of its fair part by rounding, in grains; the sum stays near zero.
pub type Credits = Vec<i64>;

/// Parts of `pool`, one an ask, never more than the pool together. `quantum`: parts are multiples of it.
pub fn parts(pool: u64, quantum: u64, asks: &[Asks], credits: &mut Credits) -> Vec<u64> {
    let quantum = quantum.max(1);
    credits.resize(asks.len(), 0);
    let fair = fill(pool, asks);
    let mut parts: Vec<u64> = fair.iter().map(|part| part - part % quantum).collect();
    let mut left = pool - parts.iter().sum::<u64>();
    for (credit, (fair, part)) in credits.iter_mut().zip(fair.iter().zip(&parts)) {
        *credit = credit.saturating_add((fair - part) as i64).clamp(-(1 << 40), 1 << 40);
    }
    // Whoever has a quantum it still needs keeps it against equals: else parts swing for nothing.
    let mut short: Vec<usize> = (0..asks.len()).filter(|at| parts[*at] < asks[*at].need).collect();
    short.sort_by_key(|at| {
        let keeps = if asks[*at].has > parts[*at] { quantum as i64 / 2 } else { 0 };
        (std::cmp::Reverse(credits[*at].saturating_add(keeps)), *at)
    });
    for at in short {
        if left < quantum {
            break;
        }
        parts[at] += quantum;
        left -= quantum;
        credits[at] -= quantum as i64;
    }
    spread(left, quantum, asks, &mut parts);
    parts
}

/// Half of what is left where every need is met, evenly.
fn spread(left: u64, quantum: u64, asks: &[Asks], parts: &mut [u64]) {
    if asks.is_empty() || asks.iter().zip(parts.iter()).any(|(asks, part)| *part < asks.need) {
        return;
    }
    let each = left / 2 / asks.len() as u64;
    let each = each - each % quantum;
    parts.iter_mut().for_each(|part| *part += each);
}

/// Max-min with importance, before rounding: a water level per unit of importance, raised until the pool is used.
fn fill(pool: u64, asks: &[Asks]) -> Vec<u64> {
    let mut fair = vec![0; asks.len()];
    let mut open: Vec<usize> = (0..asks.len()).filter(|at| asks[*at].need > 0).collect();
    // Those met at the lowest level first: one pass is then enough.
    open.sort_by_key(|at| (asks[*at].need / asks[*at].importance.max(1), *at));
    let mut left = u128::from(pool);
    let mut shares: u128 = open.iter().map(|at| u128::from(asks[*at].importance.max(1))).sum();
    for at in open {
        let share = u128::from(asks[at].importance.max(1));
        let part = u128::from(asks[at].need).min(left * share / shares);
        fair[at] = part as u64;
        left -= part;
        shares -= share;
    }
    fair
}

#[cfg(test)]
mod tests;
