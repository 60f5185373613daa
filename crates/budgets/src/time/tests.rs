use super::*;

#[test]
fn suspension_and_clock_jumps_are_not_counted() {
    let (mut clock, s) = (ActiveClock::default(), Duration::from_secs(1));
    clock.advance(5 * s, false).unwrap();
    clock.advance(5 * s + s / 10, false).unwrap();
    assert_eq!(clock.now(), s / 10);
    clock.advance(3600 * s, false).unwrap();
    assert_eq!(clock.now(), s / 10);
    assert_eq!(clock.advance(3599 * s, false), Err(ClockRegression));
    assert_eq!(clock.advance(3599 * s + s / 10, false), Ok(()));
    assert_eq!(clock.now(), s / 5);
}
