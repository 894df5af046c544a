//! The subcommand `certs`.

use {
    crate::{
        arguments::CertificateArguments,
        files::{create_secret_file, read_error},
        output::CommandReport,
    },
    catkindeck::{ErrorKind, ServiceError, id::ObjectName, link::PeerRole},
    catkindeck_wire::certificate::{DevelopmentAuthority, role_name},
    serde_json::json,
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// Issues certificates. Existing ones are kept, so that the command can be repeated.
pub fn run(arguments: &CertificateArguments) -> Result<CommandReport, ServiceError> {
    let directory = &arguments.dir;
    fs::create_dir_all(directory).map_err(|error| {
        let detail = format!("cannot create {}: {error}", directory.display());
        ServiceError::not_run(ErrorKind::BadRequest, detail)
    })?;
    let authority = open_authority(directory)?;
    let mut issued = Vec::new();
    let mut kept = Vec::new();
    let roles = [
        (PeerRole::Entry, &arguments.entry),
        (PeerRole::Agent, &arguments.agent),
        (PeerRole::Operator, &arguments.operator),
    ];
    for (role, hosts) in roles {
        for host in hosts {
            let host = ObjectName::try_from(host.as_str())?;
            let path = directory.join(format!("{}-{host}.pem", role_name(role)));
            if path.exists() && !arguments.renew {
                kept.push(path);
                continue;
            }
            issue(&authority, role, &host, &path)?;
            issued.push(path);
        }
    }
    let display_paths = |paths: &[PathBuf]| -> Vec<String> {
        paths
            .iter()
            .map(|path| path.display().to_string())
            .collect()
    };
    let (issued, kept) = (display_paths(&issued), display_paths(&kept));
    let mut lines = vec![format!(
        "Development authority: {}",
        directory.join("authority.pem").display()
    )];
    lines.extend(issued.iter().map(|path| format!("issued {path}")));
    lines.extend(kept.iter().map(|path| format!("kept   {path}")));
    CommandReport::success(lines.join("\n"), &json!({"issued": issued, "kept": kept}))
}

fn open_authority(directory: &Path) -> Result<DevelopmentAuthority, ServiceError> {
    let certificate = directory.join("authority.pem");
    let key = directory.join("authority.key");
    if certificate.exists() && key.exists() {
        let read =
            |path: &PathBuf| fs::read_to_string(path).map_err(|error| read_error(path, &error));
        return DevelopmentAuthority::open(&read(&certificate)?, &read(&key)?)
            .map_err(|error| cert_error("open the authority", &error));
    }
    let authority = DevelopmentAuthority::create()
        .map_err(|error| cert_error("create an authority", &error))?;
    create_secret_file(&key, authority.key_pem())?;
    create_secret_file(&certificate, authority.certificate_pem())?;
    Ok(authority)
}

fn issue(
    authority: &DevelopmentAuthority,
    role: PeerRole,
    host: &ObjectName,
    path: &Path,
) -> Result<(), ServiceError> {
    let issued = authority
        .issue(role, host)
        .map_err(|error| cert_error("issue a certificate", &error))?;
    let key = path.with_extension("key");
    for file in [&key, path] {
        match fs::remove_file(file) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(cert_error(&format!("replace {}", file.display()), &error)),
        }
    }
    // The certificate is written last, so that the next run completes an interrupted one.
    create_secret_file(&key, &issued.key_pem)?;
    create_secret_file(path, &issued.certificate_pem)
}

fn cert_error(action: &str, error: &dyn std::fmt::Display) -> ServiceError {
    ServiceError::not_run(ErrorKind::Internal, format!("cannot {action}: {error}"))
}
