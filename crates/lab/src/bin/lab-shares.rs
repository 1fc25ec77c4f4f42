//! Prints the table of shares, admission and retries: `lab-shares [--full] [--json] [--seed N]
//! [--fleet DAEMONS,RATE]...`.

use anyhow::{Context, bail};
use sycamorelink_lab::shares::{ShareOptions, run_table};

fn main() -> anyhow::Result<()> {
    let mut options = ShareOptions::quick();
    let mut fleets = Vec::new();
    let mut json = false;
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut value = || arguments.next().context("missing value for an option");
        match argument.as_str() {
            "--full" => options = ShareOptions::full(),
            "--json" => json = true,
            "--seed" => options.seed = value()?.parse()?,
            "--fleet" => {
                let text = value()?;
                let (count, rate) = text
                    .split_once(',')
                    .context("expected DAEMONS,RATE, as in 17,200")?;
                fleets.push((count.parse()?, rate.parse()?));
            }
            other => bail!("unknown argument {other:?}"),
        }
    }
    if !fleets.is_empty() {
        options.fleets = fleets;
    }
    let table = run_table(&options);
    if json {
        println!("{}", table.to_json()?);
    } else {
        print!("{}", table.to_text());
    }
    Ok(())
}
