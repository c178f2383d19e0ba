//! The program `shallotctl`; see the library of this crate.

use std::{
    io::{stderr, stdout},
    process::ExitCode,
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = shallotroute_ctl::run(&arguments, &mut stdout(), &mut stderr()).await;
    // Output that can't be written, for example to a closed pipe, counts as a failure.
    let exit = result.unwrap_or(shallotroute_ctl::Exit::Refused);
    ExitCode::from(exit.code())
}
