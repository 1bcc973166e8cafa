//! Regenerates the code of the schema and compares it with what is committed.

use std::{env, fs, path::Path};

use heatherrun_codegen::generate;

const WRITE_SWITCH: &str = "HEATHERRUN_WRITE_GENERATED";

#[test]
fn generate_matches_committed() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema");
    let committed = root.join("src/generated");
    if env::var_os(WRITE_SWITCH).is_some() {
        generate(&root, &committed);
        return;
    }
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR"));
    generate(&root, fresh);
    for file in ["heatherrun.v1.rs", "fields.rs"] {
        let old = fs::read_to_string(committed.join(file)).unwrap();
        let new = fs::read_to_string(fresh.join(file)).unwrap();
        assert!(
            old == new,
            "generated {file} is stale; run this test with {WRITE_SWITCH}=1"
        );
    }
}
