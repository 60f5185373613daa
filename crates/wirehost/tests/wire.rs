//! The adapter as a process: it copes with unusual rounds, and exits with one error message on invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const START: &str = r#"["powerOn","gateway-0",7,{"new":1,"balancers":1,"tickUs":5000,"profiles":[{"name":"q","promiseUs":400000,"effect":"read_like","servedOn":null}],"allowed":{"tryLimit":3},"rules":{"coldUs":1000,"tipAfterUs":1000}}]"#;
const LIST: &str = r#"["sheet",0,[["10.0.0.1:1","z","k",0,"IN",1,null]]]"#;

fn run(lines: &[&str]) -> Output {
    let mut host = Command::new(env!("CARGO_BIN_EXE_bramblewharf-wirehost"));
    host.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = host.spawn().unwrap();
    child.stdin.take().unwrap().write_all((lines.join("\n") + "\n").as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn batch(lines: &[&str]) -> Output {
    let mut all = vec![r#"["beginBatch",1000000]"#];
    all.extend(lines);
    all.push(r#"["overToYou"]"#);
    run(&all)
}

#[test]
fn unusual_rounds_are_handled() {
    let request = r#"["newRequest","gateway-0","aa","q",0,null,300000,null,0,null,0]"#;
    let changed = r#"["backendsChanged","gateway-0","remembered",1,0]"#;
    let (gone, alarm) = (r#"["expired","gateway-0","bb"]"#, r#"["alarm","gateway-0",99]"#);
    let empty = r#"["sheet",0,[]]"#;
    let output =
        batch(&[START, r#"["destroy","gateway-0"]"#, START, LIST, changed, gone, alarm, request, empty]);
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success() && output.stderr.is_empty());
    assert!(stdout.contains(r#"["place","gateway-0","aa","10.0.0.1:1","#), "{stdout}");
    assert!(stdout.ends_with("[\"finished\"]\n"));
}

#[test]
fn invalid_input_exits_with_an_error_message() {
    let zero = START.replace(r#""tipAfterUs":1000"#, r#""tipAfterUs":0"#);
    let cases: [(&[&str], &str); 8] = [
        (&["{"], "line 2: is not a JSON array"),
        (&["[\"alarm\"]"], "line 2: alarm: member gatewayId: null is not a string"),
        (&[START, r#"["alarm","gateway-0","x"]"#], "line 3: alarm: member ctx: \"x\" is not a whole number"),
        (&[START, r#"["newRequest","gateway-0","aa","other"]"#], "member grade: other is no workload"),
        (&[START, r#"["backendsChanged","gateway-0","all",1,3]"#], "member rosterId: there is no list 3"),
        (&[START, r#"["surprise","gateway-0"]"#], "surprise: is not an event of the protocol"),
        (&[r#"["alarm","gateway-9",1]"#], "gateway-9 has not been started"),
        (&[&zero], "member conf.rules.tipAfterUs: 0 is not a duration above 0"),
    ];
    for (lines, message) in cases {
        let output = batch(lines);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && output.stdout.is_empty(), "{lines:?}");
        assert!(stderr.contains(message) && stderr.lines().count() == 1, "{stderr}");
    }
}
