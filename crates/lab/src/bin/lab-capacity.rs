//! Prints how memory, time and traffic grow with fleet size: `lab-capacity [--quick] [--json]`.

use anyhow::bail;
use sycamorelink_lab::capacity::CapacityPlan;

fn main() -> anyhow::Result<()> {
    let mut plan = CapacityPlan::full();
    let mut json = false;
    for argument in std::env::args().skip(1) {
        match argument.as_str() {
            "--quick" => plan = CapacityPlan::quick(),
            "--json" => json = true,
            other => bail!("unknown argument {other}; known are --quick and --json"),
        }
    }
    let report = plan.run()?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}
