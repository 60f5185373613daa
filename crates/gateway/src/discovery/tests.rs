use super::*;

#[test]
fn an_earlier_serial_is_accepted_after_many_consecutive_answers() {
    let mut client = NameServiceClient::start(None, 5, 7, Logger::root(slog::Discard, slog::o!())).unwrap();
    let mut accepted = |serial| {
        let update = client.accept(EngineSnapshot { serial, engines: Vec::new() }, Instant::now());
        matches!(update, ListUpdate::List(..))
    };
    let earlier = |accepted: &mut dyn FnMut(u64) -> bool| (1..SERIAL_RESET_ANSWERS).any(|_| accepted(4));
    assert!(!earlier(&mut accepted) && !accepted(5));
    assert!(!earlier(&mut accepted) && accepted(4));
}
