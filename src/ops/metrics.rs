//! OpenTelemetry metrics, which the local listener serves in the Prometheus text format.

use std::{
    fmt::Write,
    sync::{Arc, Mutex, PoisonError, Weak},
    time::{Duration, Instant},
};

use http::StatusCode;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    metrics::{
        InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
        data::{AggregatedMetrics, Metric, MetricData, ResourceMetrics},
        reader::MetricReader,
    },
};

use crate::{
    ops::burn::BurnCounters,
    policy::{buffers::ClassCounts, crossing::Split},
    proxy::Buffers,
};

/// A reader that is shared between the meter provider and the local listener.
#[derive(Debug, Clone)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}

/// The metrics of a node.
pub struct Metrics {
    reader: SharedReader,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    latency: Histogram<f64>,
    ejections: Counter<u64>,
    exposed: Counter<u64>,
    rollout_steps: Counter<u64>,
    crossings: Counter<u64>,
    leaving: Gauge<f64>,
    gossip_bytes: Counter<u64>,
    dropped_datagrams: Counter<u64>,
    unauthenticated: Counter<u64>,
    burn: Mutex<BurnCounters>,
}

impl Metrics {
    /// Creates the metrics.
    #[must_use]
    pub fn new() -> Self {
        let reader = SharedReader(Arc::new(ManualReader::builder().build()));
        let provider = SdkMeterProvider::builder()
            .with_reader(reader.clone())
            .build();
        let meter = provider.meter("marjoramdyke");
        Self {
            answers: meter.u64_counter("marjoramdyke_answers").build(),
            latency: meter
                .f64_histogram("marjoramdyke_answer_seconds")
                .with_boundaries(vec![
                    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
                ])
                .build(),
            ejections: meter.u64_counter("marjoramdyke_ejections").build(),
            exposed: meter.u64_counter("marjoramdyke_rollout_exposed").build(),
            rollout_steps: meter.u64_counter("marjoramdyke_rollout_steps").build(),
            crossings: meter.u64_counter("marjoramdyke_crossings").build(),
            leaving: meter.f64_gauge("marjoramdyke_leaving_share").build(),
            gossip_bytes: meter.u64_counter("marjoramdyke_gossip_bytes").build(),
            dropped_datagrams: meter.u64_counter("marjoramdyke_dropped_datagrams").build(),
            unauthenticated: meter.u64_counter("marjoramdyke_refused_strangers").build(),
            burn: Mutex::default(),
            reader,
            _provider: provider,
        }
    }

    /// Counts an answer to a caller and its duration; `code` is empty if the answer came from a
    /// target.
    pub fn record_answer(
        &self,
        service: &str,
        organisation: &str,
        code: &str,
        status: StatusCode,
        took: Duration,
    ) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("organisation", organisation.to_owned()),
            KeyValue::new("code", code.to_owned()),
            KeyValue::new("status", i64::from(status.as_u16())),
        ];
        self.answers.add(1, &labels);
        self.latency.record(took.as_secs_f64(), &labels[..1]);
        let failed = status.is_server_error();
        let mut burn = self.burn.lock().unwrap_or_else(PoisonError::into_inner);
        burn.record(service, organisation, failed, Instant::now());
    }

    /// Returns the counts for the error budget report.
    #[must_use]
    pub fn burn(&self) -> Vec<crate::ops::burn::WindowCounts> {
        let burn = self.burn.lock().unwrap_or_else(PoisonError::into_inner);
        burn.counts(Instant::now())
    }

    /// Counts an ejection of a target.
    pub fn record_ejection(&self, target: &str) {
        let labels = [KeyValue::new("target", target.to_owned())];
        self.ejections.add(1, &labels);
    }

    /// Counts a request that was exposed to a new version on trial.
    pub fn record_exposed(&self, service: &str, version: &str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("version", version.to_owned()),
        ];
        self.exposed.add(1, &labels);
    }

    /// Counts a step of a roll-out that this node decided.
    pub fn record_rollout_step(&self, service: &str, version: &str, step: &str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("version", version.to_owned()),
            KeyValue::new("step", step.to_owned()),
        ];
        self.rollout_steps.add(1, &labels);
    }

    /// Counts an attempt that is sent to another data centre.
    pub fn record_crossing(&self, service: &str, centre: &str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("data_centre", centre.to_owned()),
        ];
        self.crossings.add(1, &labels);
    }

    /// Records the shares of a service's requests that leave for other data centres.
    pub fn record_shares(&self, service: &str, split: &Split) {
        for (centre, share) in split.shares() {
            let labels = [
                KeyValue::new("service", service.to_owned()),
                KeyValue::new("data_centre", centre.to_string()),
            ];
            self.leaving.record(*share, &labels);
        }
    }

    /// Counts bytes of gossip that were sent or received.
    pub fn record_gossip(&self, bytes: usize) {
        self.gossip_bytes.add(bytes as u64, &[]);
    }

    /// Counts a datagram that was dropped because it was malformed or unauthenticated.
    pub fn record_dropped_datagram(&self) {
        self.dropped_datagrams.add(1, &[]);
    }

    /// Counts a refused call that did not carry the fleet's token.
    pub fn record_unauthenticated(&self) {
        self.unauthenticated.add(1, &[]);
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut data = ResourceMetrics::default();
        // If collecting fails, `data` stays empty and so does the text.
        let _ = self.reader.collect(&mut data);
        let mut out = String::new();
        for scope in data.scope_metrics() {
            for metric in scope.metrics() {
                write_metric(&mut out, metric);
            }
        }
        out
    }
}

/// Writes the bytes of bodies that a node holds by class, and how many it refused and cut for lack of room.
pub fn write_buffers(out: &mut String, buffers: &Buffers) {
    for (class, counts) in buffers.counts() {
        let class = class.name();
        let ClassCounts {
            held,
            awaited,
            refused,
            cut,
        } = counts;
        let _ = writeln!(out, "marjoramdyke_held_bytes{{class={class:?}}} {held}");
        let _ = writeln!(
            out,
            "marjoramdyke_awaited_bytes{{class={class:?}}} {awaited}"
        );
        let _ = writeln!(
            out,
            "marjoramdyke_room_refusals_total{{class={class:?}}} {refused}"
        );
        let _ = writeln!(
            out,
            "marjoramdyke_slow_callers_cut_total{{class={class:?}}} {cut}"
        );
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn write_metric(out: &mut String, metric: &Metric) {
    let name = metric.name();
    match metric.data() {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => {
            for point in sum.data_points() {
                let labels = labels(point.attributes());
                let _ = writeln!(out, "{name}_total{labels} {}", point.value());
            }
        }
        AggregatedMetrics::F64(MetricData::Gauge(gauge)) => {
            for point in gauge.data_points() {
                let labels = labels(point.attributes());
                let _ = writeln!(out, "{name}{labels} {}", point.value());
            }
        }
        AggregatedMetrics::F64(MetricData::Histogram(histogram)) => {
            for point in histogram.data_points() {
                let labels = labels(point.attributes());
                let _ = writeln!(out, "{name}_sum{labels} {}", point.sum());
                let _ = writeln!(out, "{name}_count{labels} {}", point.count());
            }
        }
        _ => {}
    }
}

fn labels<'k>(attributes: impl Iterator<Item = &'k KeyValue>) -> String {
    let parts: Vec<String> = attributes
        .map(|kv| format!("{}={:?}", kv.key, kv.value.as_str()))
        .collect();
    if parts.is_empty() {
        return String::new();
    }
    format!("{{{}}}", parts.join(","))
}
