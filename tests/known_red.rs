//! The list of tests that are known to fail, as `.ci/run` reads it.

use std::process::{Command, Output};

fn read(name: &str, list: &str, more: &[&str]) -> Output {
    let folder = std::env::temp_dir().join(format!("bramblewharf-red-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (file, tests) = (folder.join("KNOWN-RED.txt"), folder.join("tests"));
    std::fs::write(&file, list).unwrap();
    std::fs::write(&tests, "one\nmodule::two\nthree\nfour\n").unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let mut command = Command::new("sh");
    let read = command.arg(script).args(more).arg(&file).env("KNOWN_RED_TESTS", &tests).output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    read
}

#[test]
fn known_failures_are_printed_and_just_these_are_passed_over() {
    let list = "one | cause of it | 31\nmodule::two | another | 7\n";
    let shown = read("good", list, &[]);
    assert!(shown.status.success());
    assert_eq!(
        String::from_utf8(shown.stdout).unwrap(),
        "known to fail: one | cause of it | 31\nknown to fail: module::two | another | 7\n"
    );
    let skips = read("skips", list, &["--skips"]);
    assert_eq!(String::from_utf8(skips.stdout).unwrap(), "--skip one --skip module::two ");
    let none = read("none", "", &["--skips"]);
    assert!(none.status.success() && none.stdout.is_empty());
}

#[test]
fn a_list_that_is_malformed_too_long_or_names_no_test_fails() {
    for (name, list) in [
        ("unknown", "five | cause | 31\n"),
        ("no-cause", "one | | 31\n"),
        ("no-issue", "one | cause\n"),
        ("not-a-number", "one | cause | soon\n"),
        ("blank", "one | cause | 31\n\n"),
        ("four", "one | a | 1\nmodule::two | a | 1\nthree | a | 1\nfour | a | 1\n"),
    ] {
        assert!(!read(name, list, &[]).status.success(), "{name}");
    }
}
