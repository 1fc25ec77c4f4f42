//! The `dev` command, which runs a small fleet in one process.

use super::run;

// Guards against duplicate runs and wrong replies while one backend server is slow, another fails,
// an instance drains and callers resend keys through other daemons.
#[test]
fn dev_fleet_handles_gray_failures() {
    let text = run(&["dev", "--for", "5s"]);
    for expected in [
        "exit code 0",
        "doubled 0,",
        "told \"not run\" though it ran 0,",
        "every promise was kept",
    ] {
        assert!(text.contains(expected), "lacks {expected:?}:\n{text}");
    }
}
