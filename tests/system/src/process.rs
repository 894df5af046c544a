//! One process under test.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        ffi::OsStr,
        fs::File,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
    },
};

/// A process that is killed when the test ends.
pub struct ChildProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts a binary of this workspace with its standard error in a file.
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
            .expect("the log opens");
        let child = Command::new(binary_path(binary))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("the log's handle is copied"))
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("{binary} starts (is it built?): {error}"));
        Self {
            name: name.to_owned(),
            child,
            log,
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns what the process has logged.
    ///
    /// # Panics
    ///
    /// Panics if the log cannot be read.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).expect("the log is readable")
    }

    /// Kills the process at once and waits for its end.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be killed.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("the process ends");
    }

    /// Asks for a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    /// Tells whether the process runs.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be asked for.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process is known")
            .is_none()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is still this test's child");
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have ended on its own.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a binary in the same target directory as the running test.
///
/// # Panics
///
/// Panics if the path of the test itself is unknown.
pub fn binary_path(binary: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test knows its path");
    let profile = test
        .ancestors()
        .nth(2)
        .expect("tests lie below the profile's directory");
    profile.join(binary)
}
