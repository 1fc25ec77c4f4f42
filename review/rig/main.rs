//! The review's scripts: `rig CASE RECORD`, run from the repository's root.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod crash;
mod leaving;
mod lost;
mod rig;

fn main() {
    rig::watch();
    let case = std::env::args().nth(1).unwrap_or_default();
    let ran = std::panic::catch_unwind(|| match case.as_str() {
        "crash" => crash::run(),
        "lost" => lost::run(),
        "leaving" => leaving::run(),
        _ => eprintln!("rig crash|lost|leaving RECORD"),
    });
    drop(ran);
    std::process::exit(2)
}
