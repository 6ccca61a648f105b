//! Validates records and converts each to a queue, with defaults for missing variables.

use super::error::{ContentError, InventoryProblem};
use super::queue::BrokerQueue;
use super::record::Record;
use crate::node::Limits;
use crate::wire::Site;
use crate::{ClassId, Idempotency};

/// The registered port of AMQP.
const DEFAULT_PORT: u16 = 5672;

/// The default virtual host of AMQP brokers.
const DEFAULT_VHOST: &str = "/";

/// Default memory reserved for a queued message, in kilobytes: about the middle of the message
/// sizes seen at the site.
const DEFAULT_QUEUED_KB: f64 = 40.0;

/// Validates records against the site, the node's limits and the environment.
pub(super) struct RecordValidator<'a, Env> {
    /// The site, which lists the classes and tenants.
    pub(super) site: &'a Site,
    /// The node's limits.
    pub(super) limits: &'a Limits,
    /// Looks up an environment variable.
    pub(super) env: Env,
}

impl<Env> RecordValidator<'_, Env>
where
    Env: Fn(&str) -> Option<String>,
{
    /// Converts a record to a queue. If several variables are invalid, returns the error of the one
    /// that is checked first.
    pub(super) fn validate(&self, record: &Record) -> Result<BrokerQueue, ContentError> {
        let host = validate_host(record)?;
        let class = self.validate_class(record)?;
        let tenant = self.validate_tenant(record)?;
        let password = self.look_up_password(record)?;
        let prefetch = self.validate_prefetch(record)?;
        let queued_kb = record
            .number("held_kb")?
            .map_or(DEFAULT_QUEUED_KB, f64::from);
        let port = record.number("port")?.unwrap_or(DEFAULT_PORT);
        let vhost = record.text("vhost")?;
        let name = record.required_text("queue")?;
        let username = record.required_text("username")?;
        Ok(BrokerQueue {
            host,
            port,
            vhost: vhost.unwrap_or_else(|| DEFAULT_VHOST.to_string()),
            name,
            class,
            is_idempotent: self.is_idempotent(class),
            tenant,
            prefetch,
            queued_kb,
            username,
            password,
        })
    }

    fn validate_class(&self, record: &Record) -> Result<ClassId, ContentError> {
        let name = record.required_text("class")?;
        self.site
            .class(&name)
            .ok_or_else(|| record.error("class", InventoryProblem::UnknownClass(name)))
    }

    fn is_idempotent(&self, class: ClassId) -> bool {
        let classes = &self.site.settings.classes;
        classes
            .get(class.0)
            .is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    fn validate_tenant(&self, record: &Record) -> Result<Option<String>, ContentError> {
        match record.text("tenant")? {
            Some(name) if !self.site.knows_tenant(&name) => {
                Err(record.error("tenant", InventoryProblem::UnknownTenant(name)))
            }
            tenant => Ok(tenant),
        }
    }

    fn look_up_password(&self, record: &Record) -> Result<String, ContentError> {
        let variable = record.required_text("password_env")?;
        (self.env)(&variable)
            .ok_or_else(|| record.error("password_env", InventoryProblem::PasswordNotSet(variable)))
    }

    fn validate_prefetch(&self, record: &Record) -> Result<u16, ContentError> {
        let prefetch = record.required_number("prefetch")?;
        let max = self.limits.amqp.max_prefetch;
        if prefetch > max {
            return Err(record.error("prefetch", InventoryProblem::PrefetchTooLarge { max }));
        }
        Ok(prefetch)
    }
}

/// Returns the broker's host: `host`, else `ansible_host`, else the record's host name, as in
/// configuration tools.
fn validate_host(record: &Record) -> Result<String, ContentError> {
    let host = record.text("host")?;
    let ansible_host = record.text("ansible_host")?;
    host.or(ansible_host)
        .or_else(|| Some(record.host_name.clone()))
        .filter(|host| !host.is_empty())
        .ok_or_else(|| record.error("host", InventoryProblem::Missing))
}
