//! What the program says on standard error, and the code it exits with, for wrong
//! arguments, wrong files and controllers that refuse or cannot be reached. Operators'
//! scripts match these texts, so they are pinned to the letter.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;

/// A folder of this test's own, empty.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("cli_errors")
        .join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Runs the program in `folder`: its exit code and what it wrote to standard error.
fn run(folder: &Path, arguments: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_sorrelhinge"))
        .current_dir(folder)
        .env_remove("LOG_LEVEL")
        .args(arguments)
        .output()
        .expect("the program runs");
    assert_eq!(output.stdout, b"", "{arguments:?}");
    let code = output.status.code().expect("it exits");
    (code, String::from_utf8(output.stderr).expect("UTF-8"))
}

fn assert_fails(folder: &Path, arguments: &[&str], code: i32, text: &str) {
    assert_eq!(
        run(folder, arguments),
        (code, text.to_owned()),
        "{arguments:?}"
    );
}

/// A controller that gives the same answer to each of `requests` requests; its address.
fn controller(requests: usize, status: &'static str, body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for _ in 0..requests {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = Vec::new();
            let mut byte = [0];
            while !request.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) > 0 {
                request.push(byte[0]);
            }
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

#[test]
fn a_wrong_command_line_exits_with_2() {
    let folder = folder("arguments");
    let (code, text) = run(&folder, &[]);
    assert_eq!(code, 2);
    let needed =
        "error: the following required arguments were not provided:\n  --config <CONFIG>\n";
    assert!(text.starts_with(needed), "{text}");
    assert_fails(
        &folder,
        &["drain", "m", "--deadline", "3x"],
        2,
        "error: invalid value '3x' for '--deadline <DEADLINE>': \
         \"3x\" is not a time like 90s, 10m or 2h\n\nFor more information, try '--help'.\n",
    );
    assert_fails(
        &folder,
        &["drain", "m", "--deadline", "200h"],
        2,
        "error: invalid value '200h' for '--deadline <DEADLINE>': \
         \"200h\" is not within 0 and 7 days\n\nFor more information, try '--help'.\n",
    );
}

#[test]
fn wrong_settings_exit_with_2_and_name_the_file() {
    let folder = folder("settings");
    std::fs::write(folder.join("bad.toml"), "oops\n").expect("written");
    std::fs::write(folder.join("other.toml"), "a = 1\n").expect("written");
    let none = "No such file or directory (os error 2)";
    for (arguments, text) in [
        (vec!["--config", "no.toml"], format!("no.toml: {none}")),
        (
            vec!["--config", "bad.toml"],
            "bad.toml: line 1 (oops): key with no value, expected `=`".to_owned(),
        ),
        (
            vec!["--config", "other.toml"],
            "other.toml: line 1 (a = 1): missing field `node`".to_owned(),
        ),
    ] {
        assert_fails(&folder, &arguments, 2, &format!("sorrelhinge: {text}\n"));
    }
}

#[test]
fn wrong_files_beside_valid_settings_exit_with_2() {
    let folder = folder("beside");
    std::fs::write(folder.join("platform.toml"), PLATFORM).expect("written");
    std::fs::write(folder.join("bad.toml"), "oops\n").expect("written");
    std::fs::write(folder.join("bad.properties"), "no.such = 1\n").expect("written");
    let none = "No such file or directory (os error 2)";
    let no_value = "line 1: key with no value, expected `=`";
    for (option, file, text) in [
        (
            "--properties",
            "no.properties",
            format!("no.properties: {none}"),
        ),
        (
            "--properties",
            "bad.properties",
            "no.such: no such property".to_owned(),
        ),
        ("--topology", "no.toml", format!("no.toml: {none}")),
        ("--topology", "bad.toml", format!("bad.toml: {no_value}")),
        ("--calendar", "no.toml", format!("no.toml: {none}")),
        ("--calendar", "bad.toml", format!("bad.toml: {no_value}")),
    ] {
        let arguments = ["--config", "platform.toml", "--check", option, file];
        assert_fails(&folder, &arguments, 2, &format!("sorrelhinge: {text}\n"));
    }
}

#[test]
fn a_command_with_a_wrong_file_exits_with_1_and_names_the_file() {
    let folder = folder("files");
    std::fs::write(folder.join("bad.toml"), "oops\n").expect("written");
    std::fs::write(folder.join("other.toml"), "a = 1\n").expect("written");
    std::fs::write(folder.join("past.toml"), PAST_WINDOW).expect("written");
    let none = "No such file or directory (os error 2)";
    let no_value = "bad.toml: line 1: key with no value, expected `=`";
    for (arguments, text) in [
        (["topology", "check", "no.toml"], format!("no.toml: {none}")),
        (["topology", "check", "bad.toml"], no_value.to_owned()),
        (
            ["topology", "check", "other.toml"],
            "other.toml: line 1: unknown field `a`, expected one of `version`, `levels`, \
             `place`, `device`, `policy`, `repair`, `renting`, `gangs`"
                .to_owned(),
        ),
        (["calendar", "check", "no.toml"], format!("no.toml: {none}")),
        (["calendar", "check", "bad.toml"], no_value.to_owned()),
        (
            ["calendar", "check", "other.toml"],
            "other.toml: line 1: missing field `version`".to_owned(),
        ),
        (
            ["calendar", "check", "past.toml"],
            "past.toml: window \"drop\": when: it is over".to_owned(),
        ),
        (["calendar", "pin", "no.toml"], format!("no.toml: {none}")),
        (["calendar", "pin", "bad.toml"], no_value.to_owned()),
    ] {
        assert_fails(&folder, &arguments, 1, &format!("sorrelhinge: {text}\n"));
    }
}

#[test]
fn a_command_that_is_refused_before_it_is_sent_exits_with_1() {
    let folder = folder("refused");
    for (arguments, text) in [
        (vec!["drain", ""], "drain.target: length is lower than 1"),
        (
            vec!["drain", "m", "--away", "0"],
            "drain.away: lower than 1",
        ),
        (
            vec!["blocks", "move", "5000", "--to", "x"],
            "blocks.block: greater than 1000",
        ),
        (
            vec!["blocks", "move", "1", "--to", ""],
            "blocks.to: length is lower than 1",
        ),
        (
            vec!["blocks", "free", "5000"],
            "blocks.block: greater than 1000",
        ),
    ] {
        assert_fails(&folder, &arguments, 1, &format!("sorrelhinge: {text}\n"));
    }
}

#[test]
fn a_controller_that_refuses_is_quoted() {
    let folder = folder("answers");
    let shows = ["topology", "lanes", "blocks", "calendar"];
    for shown in shows {
        let address = controller(1, "404 Not Found", "{\"error\":\"no such thing\"}");
        assert_fails(
            &folder,
            &[shown, "show", "--controller", &address],
            1,
            &format!("sorrelhinge: {address}: no such thing\n"),
        );
    }
    let address = controller(1, "400 Bad Request", "not JSON");
    assert_fails(
        &folder,
        &["undrain", "m", "--controller", &address],
        1,
        &format!("sorrelhinge: {address}: not JSON\n"),
    );
    let address = controller(1, "200 OK", "[");
    assert_fails(
        &folder,
        &["pipeline", "show", "j", "--controller", &address],
        1,
        &format!(
            "sorrelhinge: {address}: malformed answer: \
             EOF while parsing a list at line 1 column 1\n"
        ),
    );
}

#[test]
fn controllers_that_cannot_decide_are_asked_three_times_and_the_last_is_quoted() {
    let folder = folder("rounds");
    let address = controller(3, "503 Service Unavailable", "{\"error\":\"not now\"}");
    assert_fails(
        &folder,
        &[
            "blocks",
            "show",
            "--controller",
            "127.0.0.1:1",
            "--controller",
            &address,
        ],
        1,
        &format!("sorrelhinge: {address}: not now\n"),
    );
    assert_fails(
        &folder,
        &["pipeline", "show", "j", "--controller", "127.0.0.1:1"],
        1,
        "sorrelhinge: 127.0.0.1:1: not connected: Connection refused (os error 111)\n",
    );
}

const PLATFORM: &str = r#"
node = "n1"
area = "a"
bind = "127.0.0.1:0"
peer_bind = "127.0.0.1:0"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[params]
zones = ["a"]
[params.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[params.state]
rps = 100.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 8
[params.cloud]
rps = 10.0
list_lag_s = 2.0
"#;

const PAST_WINDOW: &str = r#"
version = 1
number = 1
[[window]]
name = "drop"
team = "play"
when = { once = "2001-12-01T00:00:00Z" }
lasts_s = 60
tasks = 1
cpus = 4.0
ram_gb = 8.0
early_s = 10
no_show_s = 40
"#;
