//! Checks on the source files of the decision module that the deploy file names under `policy`.

use std::path::Path;

/// The files that the deploy file names under `policy`.
fn policy_files() -> Vec<String> {
    let deploy = include_str!("../deploy/balancer.toml");
    let line = deploy.lines().find(|line| line.starts_with("policy = ")).expect("names the policy files");
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn policy_files_exist_have_a_module_doc_and_fit_the_line_width() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for file in policy_files() {
        let text = std::fs::read_to_string(root.join(&file)).expect("a policy file that exists");
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{file}:{} has {} characters", n + 1, line.chars().count());
        }
        assert!(text.starts_with("//! "), "{file} has no module doc comment");
    }
}

/// Every file in `src/policy` that makes decisions must be named under `policy` in the deploy file. The files that only
/// define types or declare modules are listed here and must not be named there.
#[test]
fn every_deciding_file_is_named_as_policy() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy");
    let types = ["mod.rs", "interface.rs", "state.rs"];
    let named = policy_files();
    for entry in std::fs::read_dir(directory).expect("the module's directory") {
        let name = entry.expect("an entry").file_name().into_string().expect("a UTF-8 file name");
        let is_named = named.contains(&format!("src/policy/{name}"));
        assert_ne!(is_named, types.contains(&name.as_str()), "{name}");
    }
}
