//! The command line of the binary: arguments, exit codes and messages.

mod testenv;

use std::io::{BufRead as _, BufReader};
use std::process::{Command, Stdio};

use insta::assert_snapshot;
use rustix::process::{Pid, Signal, kill_process};
use testenv::program;
use testenv::store::Store;

/// Command lines that are invalid.
const INVALID_COMMANDS: [&str; 26] = [
    "",
    "sevre",
    "--sevre",
    "serve",
    "serve --settings",
    "serve --settings=a --settings b",
    "serve --settings /nonexistent/settings.yaml",
    "dev --targets none",
    "dev --targets 65",
    "dev here",
    "submit job.json",
    "submit --entry http://127.0.0.1:1",
    "submit --entry balancer:80 job.json",
    "submit --entry http://127.0.0.1:1,, job.json",
    "submit --entry http://127.0.0.1:1 --timeout 5 job.json",
    "submit --entry http://127.0.0.1:1 --repeatable=yes job.json",
    "status -x",
    "config",
    "config put --store http://127.0.0.1:1",
    "config get",
    "config get --store http://127.0.0.1:1 teams",
    "config apply --store http://127.0.0.1:1 --section teams --base 1 teams.yaml",
    "config apply --store http://127.0.0.1:1 --section teams --base x --who ana teams.yaml",
    "config apply --store http://127.0.0.1:1 --section teams --base 1 --who ana teams.yaml",
    "config get --store http://127.0.0.1:1 --section team",
    "check",
];

/// Runs the program with the arguments in `line` and `input` on standard input. Returns its exit code,
/// standard output and standard error.
fn run_with(line: &str, input: &str) -> String {
    let ended = program::run(line.split_whitespace(), input);
    format!("{}\n{}{}", ended.code, ended.output, ended.errors)
}

fn run(line: &str) -> String {
    run_with(line, "")
}

#[test]
fn version_is_printed() {
    assert_snapshot!(run("--version"), @r"
    0
    gypsumkeel 0.1.0
    ");
}

#[test]
fn help_lists_the_commands_and_exit_codes() {
    assert_snapshot!(run("--help"), @r"
    0
    A dispatcher for jobs of sub-second tasks.

    Usage: gypsumkeel COMMAND [OPTIONS]

    Commands:
      serve     Run an entry VM
      platform  Run an entry VM on the users' platform
      dev       Run everything in one process, to try it out
      submit    Submit one job and wait for its answer
      check     Check a settings or configuration file
      config    Read or change the configuration
      status    Show the status of an entry VM

    Options:
      -h, --help     Print help; after a command, help on it
      -V, --version  Print the version

    Exit codes:
      0  done
      1  failed
      2  the command line or an input is invalid
      3  refused, and nothing was executed
      4  it is not known whether anything was executed
    ");
}

#[test]
fn every_command_has_help() {
    for command in ["serve", "platform", "dev", "submit", "check", "config", "status"] {
        let text = run(&format!("{command} --help"));
        assert!(text.contains(&format!("Usage: gypsumkeel {command}")), "{text}");
        assert_eq!(run(&format!("{command} -h")), text);
    }
}

#[test]
fn an_invalid_command_line_is_reported_with_its_remedy() {
    let report = INVALID_COMMANDS
        .map(|line| format!("{}\n{}", format!("$ {line}").trim_end(), run(line)))
        .concat();
    assert_snapshot!(report, @r#"
    $
    2
    [gypsumkeel error]: no command; use one of serve, platform, dev, submit, check, config, status, or --help
    $ sevre
    2
    [gypsumkeel error]: no such command "sevre"; use one of serve, platform, dev, submit, check, config, status, or --help
    $ --sevre
    2
    [gypsumkeel error]: invalid option '--sevre'; see gypsumkeel --help
    $ serve
    2
    [gypsumkeel error]: serve needs --settings; see gypsumkeel serve --help
    $ serve --settings
    2
    [gypsumkeel error]: missing argument for option '--settings'; see gypsumkeel --help
    $ serve --settings=a --settings b
    2
    [gypsumkeel error]: --settings is given twice; give it once
    $ serve --settings /nonexistent/settings.yaml
    2
    [gypsumkeel error]: /nonexistent/settings.yaml: No such file or directory (os error 2); give a readable file in UTF-8
    $ dev --targets none
    2
    [gypsumkeel error]: --targets can't be "none"; give a number of targets from 1 to 64
    $ dev --targets 65
    2
    [gypsumkeel error]: --targets can't be "65"; give a number of targets from 1 to 64
    $ dev here
    2
    [gypsumkeel error]: dev takes no "here"; see gypsumkeel dev --help
    $ submit job.json
    2
    [gypsumkeel error]: submit needs --entry; see gypsumkeel submit --help
    $ submit --entry http://127.0.0.1:1
    2
    [gypsumkeel error]: submit needs FILE; see gypsumkeel submit --help
    $ submit --entry balancer:80 job.json
    2
    [gypsumkeel error]: --entry can't be "balancer:80"; give http://IP:PORT[,http://IP:PORT…]
    $ submit --entry http://127.0.0.1:1,, job.json
    2
    [gypsumkeel error]: --entry can't be "http://127.0.0.1:1,,"; give http://IP:PORT[,http://IP:PORT…]
    $ submit --entry http://127.0.0.1:1 --timeout 5 job.json
    2
    [gypsumkeel error]: --timeout can't be "5"; give a time with its unit, such as 500ms or 5s
    $ submit --entry http://127.0.0.1:1 --repeatable=yes job.json
    2
    [gypsumkeel error]: unexpected argument for option '--repeatable': "yes"; see gypsumkeel --help
    $ status -x
    2
    [gypsumkeel error]: status takes no "-x"; see gypsumkeel status --help
    $ config
    2
    [gypsumkeel error]: config does nothing by itself; add get, apply or history
    $ config put --store http://127.0.0.1:1
    2
    [gypsumkeel error]: config has no action "put"; use get, apply or history
    $ config get
    2
    [gypsumkeel error]: config needs --store; see gypsumkeel config --help
    $ config get --store http://127.0.0.1:1 teams
    2
    [gypsumkeel error]: config takes no "teams"; see gypsumkeel config --help
    $ config apply --store http://127.0.0.1:1 --section teams --base 1 teams.yaml
    2
    [gypsumkeel error]: config needs --who; see gypsumkeel config --help
    $ config apply --store http://127.0.0.1:1 --section teams --base x --who ana teams.yaml
    2
    [gypsumkeel error]: --base can't be "x"; give the version that config get printed
    $ config apply --store http://127.0.0.1:1 --section teams --base 1 --who ana teams.yaml
    2
    [gypsumkeel error]: config needs --why; see gypsumkeel config --help
    $ config get --store http://127.0.0.1:1 --section team
    2
    [gypsumkeel error]: --section can't be "team"; give targets, services, limits or teams, or a part such as targets/a
    $ check
    2
    [gypsumkeel error]: check needs FILE; see gypsumkeel check --help
    "#);
}

#[test]
fn check_accepts_the_settings_of_the_platform() {
    let valid = r#"{ "node": "edge-1", "ip": "10.0.0.1", "zone": "a", "portRange": [7720, 7735], "new": 1,
        "listen": { "front": "10.0.0.1:1", "ready": "10.0.0.1:2", "control": "10.0.0.1:3" },
        "bounds": { "holdMaxMs": 1000, "farX": 2, "graceS": 6 }, "platform": { "addr": "10.0.0.2:4" } }"#;
    assert_snapshot!(run_with("check -", valid), @r"
    0
    standard input: valid settings of the platform
    ");
    let invalid = valid.replace("edge-1", "").replace("1000", "100").replace("[7720", "[7799");
    assert_snapshot!(run_with("check -", &invalid), @r"
    2
    [gypsumkeel error]: standard input: node: is empty, but identifies the VM to the others; correct the settings file
    [gypsumkeel error]: standard input: bounds.holdMaxMs: is under 800, too short to renew leases; correct the settings file
    [gypsumkeel error]: standard input: portRange: is not the first and the last port of a range; correct the settings file
    ");
    assert_snapshot!(run_with("check -", &valid.replace("\"10.0.0.1:2\"", "7")), @r"
    2
    [gypsumkeel error]: standard input: listen.ready: invalid type: integer `7`, expected socket address at line 2 column 53; correct the settings file
    ");
}

#[test]
fn check_distinguishes_settings_from_a_configuration() {
    let settings = "{ vm: a, domain: a, region: r, listen: { callers: 127.0.0.1:0, peers: 127.0.0.1:0 }, store: { url: http://127.0.0.1:1 } }";
    assert_snapshot!(run_with("check -", settings), @r"
    0
    standard input: valid settings
    ");
    assert_snapshot!(run_with("check -", "teams: []"), @r"
    0
    standard input: valid configuration
    ");
    assert_snapshot!(run_with("check -", "targets: { prove_after: 2 }"), @r"
    2
    [gypsumkeel error]: standard input: targets.prove_after: 2: expected a time with its unit, such as 250ms, 2s or 1m
    [gypsumkeel error]: standard input: vm: missing: give the VM a unique name, such as lantern-a-1
    [gypsumkeel error]: standard input: domain: missing: name the VM's failure domain, such as a
    [gypsumkeel error]: standard input: region: missing: name the VM's region, such as south
    [gypsumkeel error]: standard input: listen.callers: missing: give IP:PORT for callers; port 0 selects a free port
    [gypsumkeel error]: standard input: listen.peers: missing: give IP:PORT for other VMs; port 0 selects a free port
    [gypsumkeel error]: standard input: store.url: missing: give the store as http://IP:PORT
    ");
    assert_snapshot!(run_with("check -", "targets: [{ id: t, domain: a, address: 127.0.0.1 }]"), @r#"
    2
    [gypsumkeel error]: standard input: targets[0].address: "127.0.0.1": give it as IP:PORT, such as 192.0.2.1:7100
    "#);
    assert_snapshot!(run_with("check -", "a: ["), @r"
    2
    [gypsumkeel error]: standard input: line 2 column 1: did not find expected node content at line 2 column 1, while parsing a flow node: fix the YAML syntax there
    ");
}

#[test]
fn the_examples_are_valid() {
    for (name, kind) in
        [("settings", "settings"), ("brisa", "configuration"), ("association", "configuration")]
    {
        let path = format!("{}/examples/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
        assert_eq!(run(&format!("check {path}")), format!("0\n{path}: valid {kind}\n"));
    }
}

#[test]
fn dev_runs_the_example_of_the_readme() {
    let mut dev = Command::new(env!("CARGO_BIN_EXE_gypsumkeel"))
        .args(["dev", "--targets", "2"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let mut line = String::new();
    let mut output = BufReader::new(dev.stdout.take().expect("standard output is piped"));
    output.read_line(&mut line).expect("the program writes");
    let entry = line.split(' ').find_map(|word| word.strip_prefix("callers="));
    let entry = entry.expect("the line names the callers' address");
    let job =
        r#"{"service":"echo","tasks":[{"payload":{"lanterns":40}},{"payload":"route slip"}]}"#;
    let submitted = run_with(&format!("submit --entry http://{entry} -"), job);
    assert!(submitted.starts_with("0\n{\"key\":"), "{submitted}");
    let answers = r#","state":"complete","answers":[{"lanterns":40},"route slip"]}"#;
    assert!(submitted.trim_end().ends_with(answers), "{submitted}");
    let status = run(&format!("status --entry {entry}"));
    assert!(status.contains(" id=echo-1 ") && status.contains(" first_starts=2 "), "{status}");
    let status = run(&format!("status --entry {entry} --json"));
    assert!(status.contains(r#""first_starts":2"#), "{status}");
    kill_process(Pid::from_child(&dev), Signal::TERM).expect("the program runs");
    assert!(dev.wait().expect("the program ends").success());
}

/// Replaces the parts of `text` that differ between runs: times and ids of changes.
fn redact(text: &str) -> String {
    let redact_word = |word: &str| match word.split_once('=') {
        Some(("at" | "change", _)) => word.split_once('=').map_or("", |(key, _)| key).to_owned(),
        _ if word.starts_with("20") && word.ends_with("Z,") => "TIME,".to_owned(),
        _ => word.to_owned(),
    };
    let redact_line = |line: &str| line.split(' ').map(redact_word).collect::<Vec<_>>().join(" ");
    text.lines().map(redact_line).collect::<Vec<_>>().join("\n")
}

#[test]
fn config_changes_sections_and_keeps_their_history() {
    let store = Store::start();
    let url = store.url();
    let config = |line: &str, input: &str| {
        let (action, options) = line.split_once(' ').unwrap_or((line, ""));
        redact(&run_with(&format!("config {action} --store {url} {options}"), input))
    };
    let first = "apply --section teams --base 0 --who ana --why first -";
    let steps = [
        ("get", ""),
        ("get --section teams", ""),
        (first, "- { name: planners, share: 3 }\n"),
        (first, "- { name: hotels }\n"),
        (
            "apply --section teams --base 1 --who rui --why more -",
            "- { name: planners, share: 0 }\n- { nmae: x }",
        ),
        ("apply --section teams/b --base 0 --who rui --why more -", "- { name: planners }\n"),
        ("apply --section teams/b --base 0 --who rui --why more -", "- { name: drivers }\n"),
        ("get --section teams", ""),
        ("get", ""),
        ("history", ""),
        ("history --section teams", ""),
    ];
    let report = steps.map(|(line, input)| format!("$ config {line}\n{}\n", config(line, input)));
    assert_snapshot!(report.concat(), @r#"
    $ config get
    0
    version=0
    $ config get --section teams
    1
    [gypsumkeel error]: there is no section teams; apply it with --base 0, or get without --section to see what is there
    $ config apply --section teams --base 0 --who ana --why first -
    0
    version=1 at who=ana section=teams section_version=1 change why=first
    $ config apply --section teams --base 0 --who ana --why first -
    3
    [gypsumkeel error]: conflict: section teams was changed to version 1 by ana at TIME, your base is 0; get it, redo your change on it and apply with --base 1
    $ config apply --section teams --base 1 --who rui --why more -
    2
    [gypsumkeel error]: standard input: teams[1].nmae: "x": no such field; use `name` or `share`
    [gypsumkeel error]: standard input: teams[1].name: missing: add it
    $ config apply --section teams/b --base 0 --who rui --why more -
    2
    [gypsumkeel error]: standard input: teams/b[0].name: planners: the name is used at teams[0].name too; remove one of them
    $ config apply --section teams/b --base 0 --who rui --why more -
    0
    version=2 at who=rui section=teams/b section_version=1 change why=more
    $ config get --section teams
    0
    - { name: planners, share: 3 }
    version=2
    section=teams version=1 who=ana at
    $ config get
    0
    # teams
    - { name: planners, share: 3 }
    # teams/b
    - { name: drivers }
    version=2
    section=teams version=1 who=ana at
    section=teams/b version=1 who=rui at
    $ config history
    0
    version=2 at who=rui section=teams/b section_version=1 change why=more
    version=1 at who=ana section=teams section_version=1 change why=first
    $ config history --section teams
    0
    version=1 at who=ana section=teams section_version=1 change why=first
    "#);
    store.down(true);
    let report = config("get", "");
    assert!(report.starts_with("1\n[gypsumkeel error]: the store"), "{report}");
    store.close();
}
