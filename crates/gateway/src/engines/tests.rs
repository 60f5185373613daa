use super::*;

#[test]
fn load_reports_use_either_field_name_and_omit_invalid_figures() {
    let names =
        Names { workloads: Vec::new(), customers: Vec::new(), x0_is_memory: true, x1_is_disks: false };
    let read = |text: &str| {
        let report = read_report(text, &names);
        [
            report.utilisation,
            report.active_statements,
            report.mem_waiting,
            report.mem_granted,
            report.disks_busy,
        ]
    };
    let (some, none) = (Some, None);
    assert_eq!(read("inflight:7;util:0.61"), [some(0.61), some(7.0), none, none, none]);
    assert_eq!(read("cpu_share: 0.5 ; x0:0.25; x1:0.75"), [some(0.5), none, none, some(0.25), none]);
    assert_eq!(read("queue:3;utility:9;busy_reqs:2"), [none, some(2.0), some(3.0), none, none]);
    assert_eq!(read("util:NaN;inflight:many;;:"), [none; 5]);
}

#[test]
fn known_notes_are_read_and_others_ignored() {
    let read = |remark: &str, figure: &str| {
        let mut headers = awc::http::header::HeaderMap::new();
        for (name, value) in [("x-remark", remark), ("figure", figure)] {
            let name = awc::http::header::HeaderName::from_static(name);
            headers.insert(name, awc::http::header::HeaderValue::from_str(value).unwrap());
        }
        read_note(&Reply { status: StatusCode::ACCEPTED, headers, body: Bytes::new() })
    };
    assert_eq!(read("so_far", "0.25"), Some(Note::Progress(0.25)));
    assert_eq!(read("lacking", "30"), Some(Note::Spills(30.0)));
    assert_eq!(read("waiting", "1"), Some(Note::WaitsForMemory));
    assert_eq!(read("waiting", "2"), Some(Note::WaitsForLoad));
    assert_eq!(read("so_far", "much"), None);
    assert_eq!(read("waiting", ""), None);
    assert_eq!(read("humming", "1"), None);
}
