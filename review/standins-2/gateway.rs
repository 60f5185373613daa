//! Starts the gateway by the `run` command of `deploy/balancer.toml`, as the deployment page describes it.

use crate::client;
use crate::record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Has the system kill a process that the case starts when the case ends, however it does.
pub fn bind_to_case(command: &mut Command) -> &mut Command {
    // SAFETY: what is called between fork and exec is one system call.
    unsafe { command.pre_exec(end_with_the_case) }
}

/// PR_SET_PDEATHSIG, SIGKILL.
fn end_with_the_case() -> std::io::Result<()> {
    // SAFETY: a plain system call.
    unsafe { prctl(1, 9 as std::ffi::c_ulong) };
    Ok(())
}

pub const SIGTERM: i32 = 15;

/// Ends what was started and removes the temporary folder.
pub fn end_all() {
    if let Ok(mut children) = CHILDREN.lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.clear();
    }
    if let Some(folder) = FOLDER.lock().ok().and_then(|mut folder| folder.take()) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// A private temporary folder of this run.
pub fn folder() -> Result<PathBuf, String> {
    let mut folder = FOLDER.lock().map_err(|e| e.to_string())?;
    if folder.is_none() {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        *folder = Some(path);
    }
    folder.clone().ok_or_else(|| "no folder".into())
}

/// A loopback address that is free for TCP and UDP.
pub fn free_address() -> Result<SocketAddr, String> {
    for _ in 0..50 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".into())
}

/// The `run` command of the deploy file.
fn run_command() -> Result<String, String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = \"")?.split('"').next());
    line.map(str::to_string).ok_or_else(|| "deploy/balancer.toml has no run command".into())
}

pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pid: u32,
}

impl Gateway {
    /// Starts a gateway with this configuration, and `--settings` where operators' settings are given, and
    /// waits until it is ready.
    pub fn start(name: &str, config: &str, settings: Option<&str>) -> Result<Gateway, String> {
        let address = free_address()?;
        Gateway::start_at(name, address, config, settings)
    }

    pub fn start_at(
        name: &str,
        address: SocketAddr,
        config: &str,
        settings: Option<&str>,
    ) -> Result<Gateway, String> {
        let folder = folder()?;
        let config_file = folder.join(format!("{name}.json"));
        fs::write(&config_file, config).map_err(|e| e.to_string())?;
        let mut run = run_command()?;
        if let Some(settings) = settings {
            let settings_file = folder.join(format!("{name}.hcl"));
            fs::write(&settings_file, settings).map_err(|e| e.to_string())?;
            run += &format!(" --settings {}", settings_file.display());
        }
        let log = File::create(folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_CONFIG", &config_file)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = bind_to_case(&mut command).spawn().map_err(|e| e.to_string())?;
        let pid = child.id();
        CHILDREN.lock().map_err(|e| e.to_string())?.push(child);
        let gateway = Gateway { name: name.to_string(), address, pid };
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            if client::get(address, "/status/live").is_some_and(|answer| answer.status == 200) {
                record::line(&format!("{name} is ready at {address}"));
                return Ok(gateway);
            }
            if !gateway.is_running() {
                break;
            }
            sleep(Duration::from_millis(20));
        }
        let log = fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
        Err(format!("{name} did not become ready: {log}"))
    }

    pub fn signal(&self, signal: i32) {
        record::line(&format!("{} gets signal {signal}", self.name));
        // SAFETY: a plain system call; the process is a child of this one and was not waited for.
        unsafe { kill(self.pid as i32, signal) };
    }

    pub fn is_running(&self) -> bool {
        let Ok(mut children) = CHILDREN.lock() else { return false };
        let child = children.iter_mut().find(|child| child.id() == self.pid);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}
