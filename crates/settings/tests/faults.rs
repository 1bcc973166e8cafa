//! Table-driven tests of the reported faults: each case replaces one text in a
//! valid file and lists exactly the faults that must be reported.

use std::{fs, path::Path};

use heatherrun_settings::{Fault, check};

fn read_case(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    fs::read_to_string(path.join(file)).unwrap()
}

/// Errors and warnings of `text`, ordered by line.
fn sorted_faults(text: &str) -> Vec<Fault> {
    let mut found = match check("case.jsonc", text) {
        Ok(checked) => checked.warnings,
        Err(e) => [e.faults, e.warnings].concat(),
    };
    found.sort_by_key(|f| f.line);
    found
}

fn run_table(base: &str, table: &str) {
    let clean = read_case(base);
    for line in read_case(table).lines().filter(|l| !l.starts_with('#')) {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        let [case, find, replacement, expected] = cells[..] else {
            panic!("malformed line {line:?}");
        };
        let find = find.replace("\\n", "\n");
        assert!(
            find == "none" || clean.contains(&find),
            "{case}: not in {base}"
        );
        let found = sorted_faults(&clean.replacen(&find, &replacement.replace("\\n", "\n"), 1));
        let expected: Vec<_> = expected.split(";;").filter(|e| !e.is_empty()).collect();
        assert_eq!(found.len(), expected.len(), "{case}: {found:#?}");
        for (fault, expected) in found.iter().zip(expected) {
            let (location, message) = expected.trim().split_once('=').unwrap();
            assert_eq!(
                location.trim(),
                format!("{} {}", fault.line, fault.key).trim(),
                "{case}: {fault}"
            );
            assert!(
                fault.to_string().contains(message.trim()),
                "{case}: {fault}"
            );
            assert!(!fault.remedy.is_empty(), "{case}: no remedy");
        }
    }
}

#[test]
fn check_tier_cases() {
    run_table("tier.jsonc", "tier.txt");
}

#[test]
fn check_node_cases() {
    run_table("node.jsonc", "node.txt");
}

fn searcher_json(n: u32) -> String {
    let address = format!("10.{}.{}.{}:1", 1 + n / 62_500, n / 250 % 250, n % 250);
    format!(
        r#"{{"name": "lv-{n}", "address": "{address}", "domain": "wallis", "slots": 6, "connections": 110}},"#
    )
}

#[test]
fn check_large_service_warns_then_rejects() {
    let clean = read_case("tier.jsonc");
    for (searchers, message) in [(9_500, "takes"), (12_000, "split it")] {
        let more: String = (2..searchers).map(searcher_json).collect();
        let text = clean.replace(
            r#""pooled": {"searchers": ["#,
            &format!(r#""pooled": {{"searchers": [{more}"#),
        );
        let found = sorted_faults(&text);
        assert_eq!(found.len(), 1, "{:?}", &found[..found.len().min(3)]);
        assert!(found[0].to_string().contains(message), "{}", found[0]);
    }
}

#[test]
fn check_text_without_object_rejects() {
    for text in ["", "[]", "5", "// nothing", "\"text\""] {
        let found = sorted_faults(text);
        assert_eq!(found.len(), 1, "{text:?}");
    }
}
