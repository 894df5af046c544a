//! Reads and writes the operators' files.

use {
    catkindeck::{ErrorKind, ServiceError},
    catkindeck_control::intent::DeclarationText,
    std::{
        fs,
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

/// Reads declaration files; for a directory, all its `*.toml` files sorted by path.
pub fn read_declarations(paths: &[PathBuf]) -> Result<Vec<DeclarationText>, ServiceError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = fs::read_dir(path).map_err(|error| read_error(path, &error))?;
        let mut directory_files: Vec<PathBuf> = entries
            .filter_map(|entry| Some(entry.ok()?.path()))
            .filter(|file| {
                file.extension()
                    .is_some_and(|extension| extension == "toml")
            })
            .collect();
        directory_files.sort();
        files.extend(directory_files);
    }
    if files.is_empty() {
        let detail = "expected declaration files, or directories with *.toml files";
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    let read_text = |path: &PathBuf| {
        let text = fs::read_to_string(path).map_err(|error| read_error(path, &error))?;
        Ok(DeclarationText {
            file: path.display().to_string(),
            text,
        })
    };
    files.iter().map(read_text).collect()
}

/// Maps an error of reading a file to an error kind.
pub fn read_error(path: &Path, error: &io::Error) -> ServiceError {
    let kind = match error.kind() {
        io::ErrorKind::NotFound => ErrorKind::NotFound,
        io::ErrorKind::PermissionDenied => ErrorKind::Forbidden,
        _ => ErrorKind::BadRequest,
    };
    ServiceError::not_run(kind, format!("cannot read {}: {error}", path.display()))
}

/// Creates a file that only its owner may read; an existing file is an error.
pub fn create_secret_file(path: &Path, content: &str) -> Result<(), ServiceError> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
    options
        .open(path)
        .and_then(|mut file| file.write_all(content.as_bytes()))
        .map_err(|error| write_error(path, &error))
}

/// Replaces a file atomically, so that readers see either the old or the new content.
pub fn replace_file(path: &Path, content: &str) -> Result<(), ServiceError> {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    let temporary_path = path.with_file_name(name);
    fs::write(&temporary_path, content)
        .and_then(|()| fs::rename(&temporary_path, path))
        .map_err(|error| write_error(path, &error))
}

/// Appends to a file, which is created if it is missing.
pub fn append_file(path: &Path, content: &str) -> Result<(), ServiceError> {
    let mut options = fs::OpenOptions::new();
    options
        .append(true)
        .create(true)
        .open(path)
        .and_then(|mut file| file.write_all(content.as_bytes()))
        .map_err(|error| write_error(path, &error))
}

fn write_error(path: &Path, error: &io::Error) -> ServiceError {
    let kind = match error.kind() {
        io::ErrorKind::AlreadyExists => ErrorKind::Conflict,
        io::ErrorKind::PermissionDenied => ErrorKind::Forbidden,
        _ => ErrorKind::BadRequest,
    };
    ServiceError::not_run(kind, format!("cannot write {}: {error}", path.display()))
}
