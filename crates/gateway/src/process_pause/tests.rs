use super::*;

#[test]
fn data_read_just_after_a_pause_may_have_waited_since_the_pause_began() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let pauses = PauseDetector::new(start);
    for ms in (0..=500).step_by(50) {
        pauses.record_activity(at(ms));
        assert_eq!(pauses.queueing_delay(at(ms)), Duration::ZERO);
    }
    pauses.record_activity(at(1500));
    pauses.record_activity(at(1510));
    assert_eq!(pauses.queueing_delay(at(1510)), Duration::from_millis(1010));
    assert_eq!(pauses.catch_up_left(at(1510)), Some(Duration::from_millis(50)));
    assert_eq!(pauses.catch_up_left(at(1560)), None);
    assert_eq!(pauses.queueing_delay(at(1600)), Duration::ZERO);
}

/// Guards against a call that waited through two pauses of which only the second counts.
#[test]
fn pauses_without_time_to_catch_up_between_them_count_as_one() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let pauses = PauseDetector::new(start);
    for ms in [400, 404, 800, 803, 1200] {
        pauses.record_activity(at(ms));
    }
    assert_eq!(pauses.queueing_delay(at(1210)), Duration::from_millis(1210));
    // Enough time to read everything that arrived: the next pause is a separate one.
    for ms in [1250, 1300, 1700] {
        pauses.record_activity(at(ms));
    }
    assert_eq!(pauses.queueing_delay(at(1710)), Duration::from_millis(410));
}
