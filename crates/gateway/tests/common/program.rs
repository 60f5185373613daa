//! The gateway's program, run as a child process.

use bramblewharf_standins::TEST_TIMEOUT;
use std::io::{BufRead, BufReader};
use std::sync::mpsc;

/// A process of the program, and the lines of its log.
pub struct GatewayProcess {
    pub child: std::process::Child,
    pub lines: mpsc::Receiver<String>,
}

impl GatewayProcess {
    /// Starts the program with this configuration file.
    pub fn start(file: &std::path::Path) -> GatewayProcess {
        GatewayProcess::start_with(file, &[])
    }

    /// Starts the program with this configuration file and more arguments.
    pub fn start_with(file: &std::path::Path, more: &[&str]) -> GatewayProcess {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_bramblewharf"));
        let command = command.env_remove("EDGE_LISTEN").env("EDGE_CONFIG", file).arg("serve").args(more);
        let mut child = command.stderr(std::process::Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let (line_sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).try_for_each(|line| line_sender.send(line))
        });
        GatewayProcess { child, lines }
    }

    /// Waits for the next line of the log that contains `pattern`.
    pub fn wait(&self, pattern: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(TEST_TIMEOUT).expect(pattern);
            if line.contains(pattern) {
                return line;
            }
        }
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(std::process::Command::new("kill").args([name, &id]).status().unwrap().success());
    }
}

/// A path in the temporary directory that no other test process uses.
pub fn temporary_path(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("bramblewharf-{}-{name}", std::process::id()))
}

/// No process outlives its test, even if the test fails.
impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
