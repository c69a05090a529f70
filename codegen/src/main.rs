//! Generates `src/fleet/codec.rs` from `proto/fleet.proto`; run it from the root of the repository
//! after changing the latter.

use std::{error::Error, fs};

fn main() -> Result<(), Box<dyn Error>> {
    let files = protox::compile(["proto/fleet.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir("src/fleet")
        .compile_fds(files)?;
    fs::rename("src/fleet/fleet.rs", "src/fleet/codec.rs")?;
    Ok(())
}
