//! The differences between two configurations, as shown in plans.

use {
    catkindeck::{
        config::{ConfigSnapshot, KeyRecord, UpstreamRecord},
        message,
    },
    serde::Serialize,
    serde_json::Value,
    std::fmt,
};

#[message]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    Customer,
    Key,
    Service,
    Route,
    Zone,
    Upstream,
    Run,
}

#[message]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    Add,
    Change,
    Remove,
}

/// The values of a field before and after a change. Strings are plain text, other values JSON.
#[message]
pub struct FieldChange {
    pub field: String,
    /// The old value; empty for a new object.
    pub from: String,
    /// The new value; empty for a removed object.
    pub to: String,
}

#[message]
pub struct IntentChange {
    pub action: ChangeAction,
    pub kind: ObjectKind,
    /// The object's name or, for keys, the label.
    pub name: String,
    pub fields: Vec<FieldChange>,
}

impl fmt::Display for IntentChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            ChangeAction::Add => '+',
            ChangeAction::Change => '~',
            ChangeAction::Remove => '-',
        };
        let kind = format!("{:?}", self.kind).to_lowercase();
        write!(formatter, "{sign} {kind} {}", self.name)?;
        for change in &self.fields {
            match self.action {
                ChangeAction::Add => write!(formatter, "  {}={}", change.field, change.to)?,
                ChangeAction::Change => write!(
                    formatter,
                    "  {}: {} -> {}",
                    change.field, change.from, change.to
                )?,
                ChangeAction::Remove => {}
            }
        }
        Ok(())
    }
}

/// Returns the changes from one configuration to another, grouped by kind of object. Within a kind,
/// removed and changed objects come before added ones.
pub fn compare(before: &ConfigSnapshot, after: &ConfigSnapshot) -> Vec<IntentChange> {
    let mut changes = Vec::new();
    let list = &mut changes;
    compare_lists(
        ObjectKind::Customer,
        &named_records(&before.customers, |record| record.name.to_string()),
        &named_records(&after.customers, |record| record.name.to_string()),
        list,
    );
    compare_lists(ObjectKind::Key, &keys(before), &keys(after), list);
    compare_lists(
        ObjectKind::Service,
        &named_records(&before.services, |record| record.name.to_string()),
        &named_records(&after.services, |record| record.name.to_string()),
        list,
    );
    compare_lists(
        ObjectKind::Route,
        &named_records(&before.routes, |record| record.name.to_string()),
        &named_records(&after.routes, |record| record.name.to_string()),
        list,
    );
    compare_lists(
        ObjectKind::Zone,
        &named_records(&before.zones, |record| record.name.to_string()),
        &named_records(&after.zones, |record| record.name.to_string()),
        list,
    );
    compare_lists(
        ObjectKind::Upstream,
        &members(before),
        &members(after),
        list,
    );
    compare_lists(
        ObjectKind::Run,
        &named_records(&before.runs, |record| record.name.to_string()),
        &named_records(&after.runs, |record| record.name.to_string()),
        list,
    );
    changes
}

type NamedFields = Vec<(String, Vec<(String, String)>)>;

fn named_records<R: Serialize>(records: &[R], name_of: fn(&R) -> String) -> NamedFields {
    let mut list: NamedFields = records
        .iter()
        .map(|record| (name_of(record), fields_of(record)))
        .collect();
    list.sort();
    list
}

/// Lists keys by label, with the first 12 hexadecimal digits of the digest.
fn keys(snapshot: &ConfigSnapshot) -> NamedFields {
    let fields = |key: &KeyRecord| {
        let digest: String = key.digest.to_string().chars().take(12).collect();
        vec![
            ("customer".to_owned(), key.customer.to_string()),
            ("digest".to_owned(), digest),
        ]
    };
    let mut list: NamedFields = snapshot
        .keys
        .iter()
        .map(|key| (key.label.to_string(), fields(key)))
        .collect();
    list.sort();
    list
}

/// Lists the upstreams that are not removed. The times at which they were added are left out,
/// because declarations do not contain them.
fn members(snapshot: &ConfigSnapshot) -> NamedFields {
    let fields = |record: &UpstreamRecord| {
        vec![
            ("service".to_owned(), record.service.to_string()),
            ("zone".to_owned(), record.zone.to_string()),
            ("agent".to_owned(), record.agent.to_string()),
        ]
    };
    let present = snapshot
        .upstreams
        .iter()
        .filter(|record| record.removed_ms.is_none());
    let mut list: NamedFields = present
        .map(|record| (record.name.to_string(), fields(record)))
        .collect();
    list.sort();
    list
}

fn fields_of<R: Serialize>(record: &R) -> Vec<(String, String)> {
    let Ok(Value::Object(fields)) = serde_json::to_value(record) else {
        return Vec::new();
    };
    let text = |value: Value| match value {
        Value::String(text) => text,
        other => other.to_string(),
    };
    fields
        .into_iter()
        .filter(|(field, _)| field != "name")
        .map(|(field, value)| (field, text(value)))
        .collect()
}

/// Compares two lists that are sorted by name. Binary search keeps this fast for the thousands of
/// objects at the target size.
fn compare_lists(
    kind: ObjectKind,
    before: &NamedFields,
    after: &NamedFields,
    changes: &mut Vec<IntentChange>,
) {
    let find = |list: &NamedFields, name: &String| {
        list.binary_search_by(|(other, _)| other.cmp(name)).ok()
    };
    for (name, old) in before {
        let Some(index) = find(after, name) else {
            changes.push(change(ChangeAction::Remove, kind, name, old, &[]));
            continue;
        };
        let new = &after[index].1;
        if old != new {
            changes.push(change(ChangeAction::Change, kind, name, old, new));
        }
    }
    for (name, new) in after {
        if find(before, name).is_none() {
            changes.push(change(ChangeAction::Add, kind, name, &[], new));
        }
    }
}

fn change(
    action: ChangeAction,
    kind: ObjectKind,
    name: &str,
    old: &[(String, String)],
    new: &[(String, String)],
) -> IntentChange {
    let value_in = |fields: &[(String, String)], field: &str| {
        let found = fields.iter().find(|(name, _)| name == field);
        found.map_or_else(String::new, |(_, value)| value.clone())
    };
    let listed = if new.is_empty() { old } else { new };
    let fields = listed.iter().map(|(field, _)| FieldChange {
        field: field.clone(),
        from: value_in(old, field),
        to: value_in(new, field),
    });
    IntentChange {
        action,
        kind,
        name: name.to_owned(),
        fields: fields.filter(|field| field.from != field.to).collect(),
    }
}
