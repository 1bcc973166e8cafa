//! `heatherrun`, the operators' command-line client.

use std::{env, io::Write as _, process::ExitCode, thread};

use heatherrun_cli::{Session, args, command, transport};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let arguments = match args::parse(&args) {
        Ok(arguments) => arguments,
        Err(reply) => return print_reply(&reply),
    };
    let session = Session {
        nodes: arguments.node.clone(),
        send: Box::new(transport::send),
        sleep: Box::new(thread::sleep),
    };
    print_reply(&command::run(&arguments, &session))
}

/// Writes the reply to standard output and standard error. Write errors are
/// ignored, as a reader such as `head` may close the pipe early.
fn print_reply(reply: &heatherrun_cli::Reply) -> ExitCode {
    let _ = std::io::stdout().write_all(reply.stdout.as_bytes());
    let _ = std::io::stderr().write_all(reply.stderr.as_bytes());
    ExitCode::from(reply.exit as u8)
}
