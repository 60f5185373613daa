use super::*;

#[test]
fn earlier_numbers_count_once_they_have_stayed_for_some_seconds() {
    let mut client = NameServiceClient::start(None, 5, 7, Logger::root(slog::Discard, slog::o!())).unwrap();
    let mut news = |no| {
        let word = client.news(EngineSnapshot { serial: no, engines: Vec::new() }, Instant::now());
        matches!(word, ListUpdate::List(..))
    };
    let earlier = |news: &mut dyn FnMut(u64) -> bool| (1..GONE_BACK).any(|_| news(4));
    assert!(!earlier(&mut news) && !news(5));
    assert!(!earlier(&mut news) && news(4));
}
