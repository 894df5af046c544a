//! Processes under test.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        ffi::OsStr,
        fs::File,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
    },
};

/// A child process that is killed when the value is dropped.
pub struct ChildProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts a binary of this workspace and appends its output to a log file in `directory`.
    ///
    /// # Panics
    ///
    /// Panics if the binary was not built or cannot be started.
    pub fn start<S: AsRef<OsStr>>(
        name: &str,
        binary: &str,
        arguments: &[S],
        directory: &Path,
    ) -> Self {
        let log = directory.join(format!("{name}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("the log is opened");
        let child = Command::new(binary_path(binary))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("the log's handle is duplicated"))
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {binary} (is it built?): {error}"));
        Self {
            name: name.to_owned(),
            child,
            log,
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the output of all processes that were started under this name.
    ///
    /// # Panics
    ///
    /// Panics if the log cannot be read.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).expect("the log is readable")
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be killed.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("the process exits");
    }

    /// Requests a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process has exited.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process exits")
    }

    /// Returns whether the process is running.
    ///
    /// # Panics
    ///
    /// Panics if the state of the process cannot be queried.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process can be queried")
            .is_none()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the child process has not been reaped");
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have exited on its own.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a binary in the target directory of the running test.
///
/// # Panics
///
/// Panics if the path of the test executable is unknown.
pub fn binary_path(binary: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test executable has a path");
    let profile = test
        .ancestors()
        .nth(2)
        .expect("test executables are below the profile's directory");
    profile.join(binary)
}
