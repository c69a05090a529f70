//! Metrics by opentelemetry, read at the local listener in the text form that collectors scrape.

use std::{
    fmt::Write,
    sync::{Arc, Mutex, PoisonError, Weak},
    time::{Duration, Instant},
};

use http::StatusCode;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    metrics::{
        InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
        data::{AggregatedMetrics, Metric, MetricData, ResourceMetrics},
        reader::MetricReader,
    },
};

use crate::ops::burn::BurnCounters;

/// A reader that the local listener collects from.
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

/// The instruments of a node.
pub struct Metrics {
    reader: SharedReader,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    latency: Histogram<f64>,
    ejections: Counter<u64>,
    gossip_bytes: Counter<u64>,
    dropped_datagrams: Counter<u64>,
    unauthenticated: Counter<u64>,
    burn: Mutex<BurnCounters>,
}

impl Metrics {
    /// Creates the instruments.
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
            gossip_bytes: meter.u64_counter("marjoramdyke_gossip_bytes").build(),
            dropped_datagrams: meter.u64_counter("marjoramdyke_dropped_datagrams").build(),
            unauthenticated: meter.u64_counter("marjoramdyke_refused_strangers").build(),
            burn: Mutex::default(),
            reader,
            _provider: provider,
        }
    }

    /// WindowCounts an answer to a caller; `code` is empty when it is a target's.
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
        let bad = status.is_server_error();
        let mut burn = self.burn.lock().unwrap_or_else(PoisonError::into_inner);
        burn.record(service, organisation, bad, Instant::now());
    }

    /// Returns the counts for the report on burn.
    #[must_use]
    pub fn burn(&self) -> Vec<crate::ops::burn::WindowCounts> {
        let burn = self.burn.lock().unwrap_or_else(PoisonError::into_inner);
        burn.counts(Instant::now())
    }

    /// WindowCounts an ejection.
    pub fn record_ejection(&self, target: &str) {
        let labels = [KeyValue::new("target", target.to_owned())];
        self.ejections.add(1, &labels);
    }

    /// WindowCounts bytes of gossip, in and out.
    pub fn record_gossip(&self, bytes: usize) {
        self.gossip_bytes.add(bytes as u64, &[]);
    }

    /// WindowCounts a datagram that was malformed or a stranger's.
    pub fn record_dropped_datagram(&self) {
        self.dropped_datagrams.add(1, &[]);
    }

    /// WindowCounts a call without the fleet's proof.
    pub fn record_unauthenticated(&self) {
        self.unauthenticated.add(1, &[]);
    }

    /// Writes all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut data = ResourceMetrics::default();
        // Without a collection there is nothing to write.
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
