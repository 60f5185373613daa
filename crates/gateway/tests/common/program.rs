//! The program itself, as a process.

use bramblewharf_standins::TEST_TIMEOUT;
use std::io::{BufRead, BufReader};
use std::sync::mpsc;

/// The program, and the lines of its log as they come.
pub struct Program {
    pub child: std::process::Child,
    pub lines: mpsc::Receiver<String>,
}

impl Program {
    pub fn start(file: &std::path::Path) -> Program {
        Program::with(file, &[])
    }

    pub fn with(file: &std::path::Path, more: &[&str]) -> Program {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_bramblewharf"));
        let command = command.env_remove("EDGE_LISTEN").env("EDGE_CONFIG", file).arg("serve").args(more);
        let mut child = command.stderr(std::process::Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let (told, lines) = mpsc::channel();
        std::thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| told.send(line)));
        Program { child, lines }
    }

    /// The next line of the log with these words.
    pub fn wait(&self, words: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(TEST_TIMEOUT).expect(words);
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(std::process::Command::new("kill").args([name, &id]).status().unwrap().success());
    }
}

pub fn temporary(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("bramblewharf-{}-{name}", std::process::id()))
}

/// Whatever becomes of a test, none of its processes outlives it.
impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
