//! Requests of the operators, their reactions to the answers, and reads of the
//! configuration at all gateways.

use crate::caller::OpenRequest;
use crate::cluster::SimulatedCluster;
use crate::cluster_http::{Answer, rejection_code};
use crate::event::Event;
use crate::ids::Micros;
use crate::operator::{OPERATOR_INTERVAL_MS, OPERATOR_TIMEOUT_MS, digest};
use crate::plan::Acknowledgement;
use checker::Event as HistoryEvent;
use transport::{Operation, OperationReply, Rejection, RejectionCode};
use types::Milliseconds;

/// Interval of the reads of the configuration at every gateway.
const READ_INTERVAL_MICROS: Micros = 400_000;
/// Time after which a read of the configuration times out, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

impl SimulatedCluster {
    /// Handles the timer of an operator: schedules the next one and sends a change if one
    /// is pending.
    pub(crate) fn operator_timer(&mut self, operator: usize) {
        self.schedule_in(OPERATOR_INTERVAL_MS * 1_000, Event::OperatorTimer(operator));
        self.send_change(operator);
    }

    /// Sends the operator's open change, or the next one, unless a request is open.
    fn send_change(&mut self, operator: usize) {
        if self.operators[operator].request_open {
            return;
        }
        self.operators[operator].choose_change();
        let gateway = self.operators[operator].gateway;
        let Some(change) = self.operators[operator].open_change.clone() else {
            return;
        };
        let name = self.operators[operator].name.clone();
        let observed = HistoryEvent::ConfigurationSent {
            version: change.version,
            digest: digest(&change.document),
        };
        self.observe(name, observed);
        if !self.operators[operator].sends_invalid {
            self.observe_sent_resource_limits(&change.document);
        }
        self.operators[operator].request_open = true;
        let request = OpenRequest::Configure { operator };
        self.request(gateway, OPERATOR_TIMEOUT_MS, request, change.operation());
    }

    /// Handles the answer to a change.
    pub(crate) fn configure_answered(&mut self, operator: usize, answer: Answer) {
        self.operators[operator].request_open = false;
        let Some(change) = self.operators[operator].open_change.clone() else {
            return;
        };
        let (version, document) = (change.version, change.document);
        let name = self.operators[operator].name.clone();
        match answer {
            Ok(_) => {
                self.operators[operator].open_change = None;
                self.operators[operator].known_version = version;
                let digest = digest(&document);
                self.observe(
                    name,
                    HistoryEvent::ConfigurationAcknowledged { version, digest },
                );
                self.trigger_loss(Acknowledgement::Configuration);
                // The acknowledgement of a newer version may have arrived before.
                if version > self.newest_acknowledged {
                    self.newest_acknowledged = version;
                    self.observe_resource_limits(&document);
                }
                if self.operators[operator].sends_invalid {
                    let failure = format!("invalid configuration {version} was acknowledged");
                    self.failures.push(failure);
                }
                self.operators[operator].document = document;
                self.send_change(operator);
            }
            Err(rejection) => {
                let observed = HistoryEvent::ConfigurationRejected {
                    version,
                    digest: digest(&document),
                    code: rejection_code(&rejection),
                };
                self.observe(name, observed);
                self.after_rejected_configuration(operator, &rejection);
            }
        }
    }

    fn observe_sent_resource_limits(&mut self, document: &configuration::ClusterConfiguration) {
        for (tenant, settings) in &document.tenants {
            let observed = HistoryEvent::ResourceLimitSent {
                tenant: tenant.clone(),
                resource_limit: settings.resource_limit,
            };
            self.observe("operator", observed);
        }
    }

    fn observe_resource_limits(&mut self, document: &configuration::ClusterConfiguration) {
        for (tenant, settings) in &document.tenants {
            let observed = HistoryEvent::ResourceLimitInForce {
                tenant: tenant.clone(),
                resource_limit: settings.resource_limit,
            };
            self.observe("operator", observed);
        }
        for (licence, settings) in &document.licences {
            let observed = HistoryEvent::SeatsInForce {
                licence: licence.clone(),
                seats: settings.seats,
            };
            self.observe("operator", observed);
        }
    }

    fn after_rejected_configuration(&mut self, operator: usize, rejection: &Rejection) {
        match rejection.code {
            RejectionCode::Conflict | RejectionCode::Invalid => {
                self.operators[operator].open_change = None;
                self.operators[operator].request_open = true;
                let gateway = self.operators[operator].gateway;
                let request = OpenRequest::ReadVersion { operator };
                self.request(
                    gateway,
                    OPERATOR_TIMEOUT_MS,
                    request,
                    Operation::GetConfiguration,
                );
            }
            _ => self.operators[operator].gateway += 1,
        }
    }

    /// Handles the answer to a read of the current configuration, which follows a rejected
    /// change.
    pub(crate) fn version_read(&mut self, operator: usize, answer: Answer) {
        let host = &mut self.operators[operator];
        host.request_open = false;
        if let Ok(OperationReply::Configuration { version, document }) = answer {
            host.known_version = version;
            host.document = document;
        }
    }

    /// Sends a read of the configuration to every gateway.
    pub(crate) fn read_configurations(&mut self) {
        self.schedule_in(READ_INTERVAL_MICROS, Event::ReadConfigurations);
        for gateway in 0..self.gateways.len() {
            let process = self.gateways[gateway];
            let machine = self.processes[process.0].machine;
            let request = OpenRequest::ReadConfiguration {
                daemon: self.machines[machine.0].name.clone(),
                asked_at: self.now,
            };
            self.request(
                gateway,
                READ_TIMEOUT_MS,
                request,
                Operation::GetConfiguration,
            );
        }
    }

    /// Records the configuration that a gateway has returned.
    pub(crate) fn configuration_read(&mut self, daemon: String, asked_at: Micros, answer: Answer) {
        if let Ok(OperationReply::Configuration { version, document }) = answer {
            let observed = HistoryEvent::ConfigurationRead {
                daemon: daemon.clone(),
                asked_at: Milliseconds(asked_at / 1_000),
                version,
                digest: digest(&document),
            };
            self.observe(daemon, observed);
        }
    }
}
