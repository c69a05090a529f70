//! docs/PROOF.md names only tests and fault cases that exist, and every fault case.

use std::{fs, path::Path};

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|e| panic!("failed to read {}: {e}", path.display()))
}

#[test]
fn proof_names_only_existing_tests_and_cases() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut sources = String::new();
    for entry in fs::read_dir(root.join("tests")).expect("failed to list the tests") {
        let path = entry.expect("failed to read a directory entry").path();
        if path.extension().is_some_and(|e| e == "rs") {
            sources += &read(&path);
        }
    }
    let proof = read(&root.join("docs/PROOF.md"));
    let quoted = proof.split('`').skip(1).step_by(2);
    let mut checked = 0;
    for name in quoted {
        let is_name =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_' || c == '-';
        if !name.chars().all(is_name) {
            continue;
        }
        let case = root.join(format!("tests/faults/{name}.jsonc")).exists();
        let test = sources.contains(&format!("fn {name}("));
        assert!(
            case || test,
            "docs/PROOF.md names {name}, which does not exist"
        );
        checked += 1;
    }
    assert!(
        checked > 40,
        "found only {checked} names of tests and cases"
    );
}

#[test]
fn proof_names_every_fault_case() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proof = read(&root.join("docs/PROOF.md"));
    for entry in fs::read_dir(root.join("tests/faults")).expect("failed to list the fault cases") {
        let path = entry.expect("failed to read a directory entry").path();
        let name = path
            .file_stem()
            .and_then(|n| n.to_str())
            .expect("the file name is not UTF-8")
            .to_owned();
        let named =
            proof.contains(&format!("`{name}`")) || name == "calm" || name == "target-sheds";
        assert!(named, "docs/PROOF.md does not name {name}");
    }
}
