//! Prints the table of situations: `lab-situations [--full] [--json] [--runs N] [--threads N]
//! [--seed N] [--service NAME] [--html FILE] [--situation NAME] [--chooser NAME] [--settings JSON]
//! [--cost]`.

use anyhow::{Context, bail};
use sycamorelink_lab::situations::{ChooserKind, TableOptions, measure_cost, run_table};

fn main() -> anyhow::Result<()> {
    let mut options = TableOptions::quick();
    let mut json = false;
    let mut page = None;
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut value = || arguments.next().context("missing value for an option");
        match argument.as_str() {
            "--full" => options = TableOptions::full(),
            "--json" => json = true,
            "--html" => page = Some(value()?),
            "--runs" => options.runs = value()?.parse()?,
            "--threads" => options.threads = value()?.parse()?,
            "--seed" => options.seed = value()?.parse()?,
            "--service" => {
                let name = value()?;
                options.services = TableOptions::full().services;
                options.services.retain(|shape| shape.name == name);
            }
            "--situation" => options.situations.push(value()?),
            "--chooser" => {
                let name = value()?;
                options.choosers = ChooserKind::ALL.to_vec();
                options.choosers.retain(|kind| kind.name() == name);
            }
            "--settings" => options.settings = serde_json::from_str(&value()?)?,
            "--cost" => {
                for upstreams in [23, 1_000, 10_000] {
                    println!("{}", serde_json::to_string(&measure_cost(upstreams))?);
                }
                return Ok(());
            }
            other => bail!("unknown argument {other:?}"),
        }
    }
    let table = run_table(&options);
    if let Some(path) = page {
        std::fs::write(path, table.to_html())?;
    }
    if json {
        println!("{}", table.to_json()?);
    } else {
        println!("{}", table.to_text());
    }
    Ok(())
}
