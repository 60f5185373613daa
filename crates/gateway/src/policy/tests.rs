use super::*;

fn names() -> Names {
    let strings = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    Names {
        workloads: strings(&["lookup", "load"]),
        customers: strings(&["acme"]),
        kinds: strings(&["std", "big"]),
        workload_constraints: vec![(false, None), (true, Some(strings(&["big"])))],
    }
}

#[test]
fn a_policy_text_is_parsed_into_rules() {
    let text = "workload \"lookup\" {\n  executions = 2\n  kinds = [\"std\"]\n}\ncustomer \"acme\" {\n  forbidden = true\n}\n\
                alone {\n  workload \"lookup\" {}\n}\n";
    let rules = read(text, Some(&names())).unwrap();
    assert_eq!(rules.workloads["lookup"].executions, Some(2));
    assert!(rules.customers["acme"].forbidden && rules.alone.unwrap().contains_key("lookup"));
    assert_eq!(read("", Some(&names())), Ok(Rules::default()));
}

#[test]
fn errors_name_the_line_the_key_and_the_rule() {
    for (text, message) in [
        ("listen = \"1.2.3.4:5\"", "1: listen: unknown field `listen`"),
        ("\nworkload \"lookup\" {\n  execution = 2\n}", "3: workload.lookup.execution: unknown field"),
        ("workload \"nothing\" {}", "1: workload.nothing: is no workload"),
        (
            "workload \"load\" {\n  executions = 2\n}",
            "2: workload.load.executions: this workload must never run twice",
        ),
        (
            "workload \"load\" {\n  kinds = [\"std\"]\n}",
            "2: workload.load.kinds: std is none that the platform binds",
        ),
        ("workload \"lookup\" {\n  kinds = [\"s\"]\n}", "2: workload.lookup.kinds: s is no kind"),
        ("customer \"x\" {}", "1: customer.x: is no customer"),
        ("alone {\n  workload \"x\" {}\n}", "2: alone.workload.x: is no workload"),
        ("workload {", "1: "),
    ] {
        let error = read(text, Some(&names())).unwrap_err();
        assert!(error.starts_with(message), "{text}: {error}");
    }
}
