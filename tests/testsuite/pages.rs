//! Tests that the documentation pages agree with the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Lists the files below a directory whose names have the suffix, except in `target` and hidden
/// directories.
fn files(directory: &Path, suffix: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let entries = fs::read_dir(directory).expect("the directory is read");
    for entry in entries {
        let path = entry.expect("the entry is read").path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or_default();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            found.extend(files(&path, suffix));
        } else if name.ends_with(suffix) {
            found.push(path);
        }
    }
    found
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Collects the names of all private functions in the repository, test functions among them.
fn test_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for file in files(root(), ".rs") {
        let text = fs::read_to_string(&file).expect("the file is read");
        let functions = text
            .lines()
            .filter_map(|line| line.trim().strip_prefix("fn "));
        names.extend(
            functions
                .filter_map(|rest| rest.split('(').next())
                .map(str::to_owned),
        );
    }
    names
}

#[test]
fn promises_page_names_only_existing_tests() {
    let page = fs::read_to_string(root().join("docs/promises.md")).expect("the page is read");
    let known = test_names();
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.contains('`'));
    let mut missing = Vec::new();
    for row in rows {
        let proof = row.split('|').nth(2).unwrap_or_default();
        for name in proof.split('`').skip(1).step_by(2) {
            if !known.contains(name) {
                missing.push(name.to_owned());
            }
        }
    }
    assert!(
        missing.is_empty(),
        "the page names tests that do not exist: {missing:?}"
    );
}

#[test]
fn links_between_pages_resolve() {
    let mut broken = Vec::new();
    let mut pages = files(&root().join("docs"), ".md");
    pages.push(root().join("README.md"));
    for page in pages {
        let text = fs::read_to_string(&page).expect("the page is read");
        for link in text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next())
        {
            let target = link.split('#').next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let directory = page.parent().expect("a page lies in a directory");
            if !directory.join(target).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "broken links: {broken:#?}");
}
