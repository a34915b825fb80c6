//! The program's commands and options, as its help tells of them, and its schemas.

use std::process::Command;

use crate::golden_files::check;

/// Runs the program; tells its exit code, and what it wrote to both streams.
fn run(arguments: &[String]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_sorrelhinge"))
        .args(arguments)
        .env_remove("LOG_LEVEL")
        .env_remove("COLUMNS")
        .output()
        .expect("the program runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    format!(
        "$ sorrelhinge {}\nexit {}\n{}{}\n",
        arguments.join(" "),
        output.status.code().expect("no signal"),
        text(output.stdout),
        text(output.stderr)
    )
}

/// The names of the commands that a help text lists.
fn commands(help: &str) -> Vec<String> {
    let listed = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let listed = listed.take_while(|line| !line.is_empty());
    let names = listed.filter_map(|line| line.split_whitespace().next());
    let names = names.filter(|name| *name != "help");
    names.map(str::to_owned).collect()
}

/// The help of a command, and of all below it.
fn help(path: &[String]) -> String {
    let asked = [path, &["--help".to_owned()]].concat();
    let mut text = run(&asked);
    for name in commands(&text) {
        text += &help(&[path, &[name]].concat());
    }
    text
}

#[test]
fn the_help_of_all_commands_is_the_golden_one() {
    check("help.txt", &help(&[]));
}

/// Exit codes and words where the command line is wrong or a file is missing.
#[test]
fn refusals_of_the_command_line_are_the_golden_ones() {
    let lines = [
        "",
        "--check",
        "--config /no/such/file --check",
        "no-such-command",
        "drain",
        "drain za --deadline soon",
        "drain za --away -1",
        "blocks move 1",
        "topology check /no/such/file",
        "calendar check /no/such/file",
        "topology show --controller nowhere",
    ];
    let told: String = lines
        .iter()
        .map(|line| {
            run(&line
                .split_whitespace()
                .map(str::to_owned)
                .collect::<Vec<_>>())
        })
        .collect();
    check("command_line_refused.txt", &told);
}

#[test]
fn schemas_of_files_are_the_golden_ones() {
    for file in ["topology", "calendar"] {
        let told = run(&[file.to_owned(), "schema".to_owned()]);
        check(&format!("schema_of_{file}.txt"), &told);
    }
}
