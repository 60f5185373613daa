use super::*;

#[test]
fn sleep_and_jumps_end_nobody_elses_right() {
    let (mut clock, s) = (Patience::default(), Duration::from_secs(1));
    clock.look(5 * s, false).unwrap();
    clock.look(5 * s + s / 10, false).unwrap();
    assert_eq!(clock.now(), s / 10);
    clock.look(3600 * s, false).unwrap();
    assert_eq!(clock.now(), s / 10);
    assert_eq!(clock.look(3599 * s, false), Err(WentBack));
    assert_eq!(clock.look(3599 * s + s / 10, false), Ok(()));
    assert_eq!(clock.now(), s / 5);
}
