//! `heatherrun`, the operators' command-line client.

use std::{env, io::Write as _, process::ExitCode, thread};

use heatherrun_cli::{Session, args, command, transport};

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let arguments = match args::parse(&words) {
        Ok(arguments) => arguments,
        Err(reply) => return print(&reply),
    };
    let session = Session {
        nodes: arguments.node.clone(),
        send: Box::new(transport::send),
        pause: Box::new(thread::sleep),
    };
    print(&command::run(&arguments, &session))
}

/// A reader that went away, such as `head`, is no fault.
fn print(reply: &heatherrun_cli::Reply) -> ExitCode {
    let _ = std::io::stdout().write_all(reply.text.as_bytes());
    let _ = std::io::stderr().write_all(reply.notes.as_bytes());
    ExitCode::from(reply.exit as u8)
}
