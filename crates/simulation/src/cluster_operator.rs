//! The cluster's operators: the orders they send, what they conclude from the
//! answers, and what a reader of the configuration sees meanwhile.

use crate::caller::Waiting;
use crate::cluster::SimulatedCluster;
use crate::cluster_http::{Answer, rejection_code};
use crate::event::Event;
use crate::ids::Micros;
use crate::operator::{OPERATOR_INTERVAL_MS, OPERATOR_TIMEOUT_MS, digest};
use crate::plan::Acknowledgement;
use checker::Event as Seen;
use transport::{Operation, OperationReply, Rejection, RejectionCode};
use types::Milliseconds;

/// Time between two reads of the configuration at every gateway.
const READ_MICROS: Micros = 400_000;

impl SimulatedCluster {
    /// Looks whether there is something to send, and looks again later.
    pub(crate) fn operator_acts(&mut self, operator: usize) {
        self.schedule_in(OPERATOR_INTERVAL_MS * 1_000, Event::OperatorTimer(operator));
        self.operator_sends(operator);
    }

    /// Sends the operator's open order, or its next one.
    fn operator_sends(&mut self, operator: usize) {
        if self.operators[operator].waiting {
            return;
        }
        self.operators[operator].choose_order();
        let gateway = self.operators[operator].gateway;
        let Some(order) = self.operators[operator].open_order.clone() else {
            return;
        };
        let name = self.operators[operator].name.clone();
        let seen = Seen::ConfigurationSent {
            version: order.version,
            digest: digest(&order.document),
        };
        self.observe(name, seen);
        if !self.operators[operator].sends_invalid {
            self.record_sent_resource_limits(&order.document);
        }
        self.operators[operator].waiting = true;
        let waiting = Waiting::Configure { operator };
        self.request(gateway, OPERATOR_TIMEOUT_MS, waiting, order.operation());
    }

    /// Takes the answer to an order.
    pub(crate) fn configure_answered(&mut self, operator: usize, answer: Answer) {
        self.operators[operator].waiting = false;
        let Some(order) = self.operators[operator].open_order.clone() else {
            return;
        };
        let (version, document) = (order.version, order.document);
        let name = self.operators[operator].name.clone();
        match answer {
            Ok(_) => {
                self.operators[operator].open_order = None;
                self.operators[operator].known = version;
                let digest = digest(&document);
                self.observe(name, Seen::ConfigurationAcknowledged { version, digest });
                self.acknowledged(Acknowledgement::Configuration);
                // An acknowledgement may come after that of a newer version.
                if version > self.newest_acknowledged {
                    self.newest_acknowledged = version;
                    self.record_resource_limits(&document);
                }
                if self.operators[operator].sends_invalid {
                    let problem = format!("invalid configuration {version} was acknowledged");
                    self.broken.push(problem);
                }
                self.operators[operator].document = document;
                self.operator_sends(operator);
            }
            Err(rejection) => {
                let seen = Seen::ConfigurationRejected {
                    version,
                    digest: digest(&document),
                    code: rejection_code(&rejection),
                };
                self.observe(name, seen);
                self.after_rejected_configuration(operator, &rejection);
            }
        }
    }

    fn record_sent_resource_limits(&mut self, document: &configuration::ClusterConfiguration) {
        for (tenant, settings) in &document.tenants {
            let seen = Seen::ResourceLimitSent {
                tenant: tenant.clone(),
                resource_limit: settings.resource_limit,
            };
            self.observe("operator", seen);
        }
    }

    fn record_resource_limits(&mut self, document: &configuration::ClusterConfiguration) {
        for (tenant, settings) in &document.tenants {
            let seen = Seen::ResourceLimitInForce {
                tenant: tenant.clone(),
                resource_limit: settings.resource_limit,
            };
            self.observe("operator", seen);
        }
        for (licence, settings) in &document.licences {
            let seen = Seen::SeatsInForce {
                licence: licence.clone(),
                seats: settings.seats,
            };
            self.observe("operator", seen);
        }
    }

    fn after_rejected_configuration(&mut self, operator: usize, rejection: &Rejection) {
        match rejection.code {
            RejectionCode::Conflict | RejectionCode::Invalid => {
                self.operators[operator].open_order = None;
                self.operators[operator].waiting = true;
                let gateway = self.operators[operator].gateway;
                let waiting = Waiting::ReadVersion { operator };
                self.request(
                    gateway,
                    OPERATOR_TIMEOUT_MS,
                    waiting,
                    Operation::GetConfiguration,
                );
            }
            _ => self.operators[operator].gateway += 1,
        }
    }

    /// Takes what is in force, after an order was rejected.
    pub(crate) fn version_read(&mut self, operator: usize, answer: Answer) {
        let host = &mut self.operators[operator];
        host.waiting = false;
        if let Ok(OperationReply::Configuration { version, document }) = answer {
            host.known = version;
            host.document = document;
        }
    }

    /// Has every gateway asked which configuration it knows.
    pub(crate) fn read_configurations(&mut self) {
        self.schedule_in(READ_MICROS, Event::ReadConfigurations);
        for gateway in 0..self.gateways.len() {
            let process = self.gateways[gateway];
            let machine = self.processes[process.0].machine;
            let waiting = Waiting::ReadConfiguration {
                daemon: self.machines[machine.0].name.clone(),
                asked_at: self.now,
            };
            self.request(gateway, 1_000, waiting, Operation::GetConfiguration);
        }
    }

    /// Records which configuration a gateway knows.
    pub(crate) fn configuration_read(&mut self, daemon: String, asked_at: Micros, answer: Answer) {
        if let Ok(OperationReply::Configuration { version, document }) = answer {
            let seen = Seen::ConfigurationRead {
                daemon: daemon.clone(),
                asked_at: Milliseconds(asked_at / 1_000),
                version,
                digest: digest(&document),
            };
            self.observe(daemon, seen);
        }
    }
}
