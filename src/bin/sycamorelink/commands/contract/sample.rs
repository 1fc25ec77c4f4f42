//! `sycamorelink contract sample`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::print_sample;

#[derive(Debug, Args)]
pub struct SampleArgs {
    /// Name of the sample: brannock or harbour-mesh
    #[arg(default_value = "brannock")]
    name: String,
}

pub fn exec(context: &mut ShellContext, args: &SampleArgs) -> anyhow::Result<()> {
    print_sample(context, &args.name)
}
