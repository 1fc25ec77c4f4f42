//! Help of every command, hints for mistyped commands and shell completions.

use std::fmt::Write;

use super::run;

#[test]
fn help_of_the_program() {
    insta::assert_snapshot!(run(&["--help"]));
}

#[test]
fn help_of_every_command() {
    let commands = [
        "settings check",
        "contract",
        "contract validate",
        "contract schema",
        "contract sample",
        "contract diff",
        "contract publish",
        "contract amend",
        "contract show",
        "contract history",
        "contract rollback",
        "contract remove",
        "contract wait",
        "fleet",
        "service",
        "instance",
        "drain",
        "dev",
        "burn",
        "explain",
        "lab",
        "lab situations",
        "lab capacity",
        "completions",
    ];
    let mut pages = String::new();
    for command in commands {
        let mut args: Vec<&str> = command.split(' ').collect();
        args.push("--help");
        let page = run(&args);
        writeln!(pages, "=== {command}\n{page}").expect("text");
    }
    insta::assert_snapshot!(pages);
}

#[test]
fn mistyped_command_gets_hint() {
    let texts = [
        run(&["fleat"]),
        run(&["contract", "pubish", "x.json"]),
        run(&["contract", "amend", "x.json", "--bas", "3"]),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn amend_requires_a_base_version() {
    insta::assert_snapshot!(run(&["contract", "amend", "x.json"]));
    insta::assert_snapshot!(run(&["contract", "amend", "x.json", "--base", "newest"]));
}

#[test]
fn completions_cover_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let script = run(&["completions", shell]);
        assert!(script.starts_with("exit code 0"), "{script}");
        for command in ["contract", "rollback", "explain", "--token-file"] {
            let found = script.contains(command.trim_start_matches('-'));
            assert!(found, "{shell} has no {command}");
        }
    }
}
