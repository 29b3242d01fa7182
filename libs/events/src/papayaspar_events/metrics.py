"""Prometheus metrics of a process, in base units and with a limited number of label values."""

from collections.abc import Callable

import prometheus_client
from prometheus_client import exposition

# Includes the bounds on the time until a job within a guarantee starts: 7.3 s if urgent, else 15 s.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 7.3, 15.0, 60.0)
# Predicted run times divided by actual ones; 1 is exact.
PREDICTION_BUCKETS = (0.1, 0.25, 0.5, 0.67, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 4.0, 10.0)


class Metrics:
    """The metrics of one process, in a separate registry."""

    content_type = exposition.CONTENT_TYPE_LATEST

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            "papayaspar_events",
            "Events by kind and error code.",
            ("event", "code"),
            registry=self._registry,
        )
        self._latency = prometheus_client.Histogram(
            "papayaspar_request_duration_seconds",
            "Time from a request's arrival to its answer.",
            ("urgency",),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._stages = prometheus_client.Histogram(
            "papayaspar_stage_duration_seconds",
            "Duration of a stage of scheduling: planning rounds, and the stages of a job's start.",
            ("stage",),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._stops = prometheus_client.Counter(
            "papayaspar_stops",
            "Units that the lead stopped, by cause.",
            ("cause",),
            registry=self._registry,
        )
        self._stopped_work = prometheus_client.Counter(
            "papayaspar_stopped_work_core_seconds",
            "Work that stops threw away, by cause; an accelerator counts as 8 cores.",
            ("cause",),
            registry=self._registry,
        )
        self._gained_work = prometheus_client.Counter(
            "papayaspar_gained_work_core_seconds",
            "Work that ends in time, or at all, since other work was stopped, by cause.",
            ("cause",),
            registry=self._registry,
        )
        self._predictions = prometheus_client.Histogram(
            "papayaspar_run_time_prediction_ratio",
            "Predicted run time of finished runs divided by the actual one, by source.",
            ("source",),
            buckets=PREDICTION_BUCKETS,
            registry=self._registry,
        )
        self._gauges = prometheus_client.Gauge(
            "papayaspar_state",
            "Sizes of the process's state: workers, slots, queues, revision, short guarantees.",
            ("name",),
            registry=self._registry,
        )
        self._data_centre_gauges = prometheus_client.Gauge(
            "papayaspar_data_centre_state",
            "State of each data centre: whether it is evacuated, its workers and tasks meanwhile.",
            ("name", "data_centre"),
            registry=self._registry,
        )

    def count_event(self, kind: str, code: str) -> None:
        """Count an event."""
        self._events.labels(kind, code).inc()

    def observe_request(self, urgency: str, duration_s: float) -> None:
        """Record the duration of a request."""
        self._latency.labels(urgency).observe(duration_s)

    def observe_stage(self, stage: str, duration_s: float) -> None:
        """Record the duration of a stage of scheduling."""
        self._stages.labels(stage).observe(duration_s)

    def count_stop(self, cause: str, lost_core_s: float, gain_core_s: float) -> None:
        """Count the stop of a unit.

        :param cause: why it is stopped.
        :param lost_core_s: work that is thrown away, in core-seconds.
        :param gain_core_s: work of another job that gains by the stop, in core-seconds.
        """
        self._stops.labels(cause).inc()
        self._stopped_work.labels(cause).inc(lost_core_s)
        self._gained_work.labels(cause).inc(gain_core_s)

    def observe_prediction(self, source: str, ratio: float) -> None:
        """Record a predicted run time divided by the actual one."""
        self._predictions.labels(source).observe(ratio)

    def set_state(self, name: str, value: float) -> None:
        """Set a gauge of the process's state."""
        self._gauges.labels(name).set(value)

    def set_data_centre_state(self, name: str, data_centre: str, value: float) -> None:
        """Set a gauge of the state of a data centre."""
        self._data_centre_gauges.labels(name, data_centre).set(value)

    def follow_state(self, name: str, read: Callable[[], float]) -> None:
        """Read a gauge of the process's state whenever the metrics are requested.

        :param name: name of the gauge.
        :param read: function that returns its value.
        """
        self._gauges.labels(name).set_function(read)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def serve(self, host: str, port: int) -> None:
        """Serve the metrics over HTTP in a background thread.

        :param host: IP address to listen on.
        :param port: TCP port to listen on.
        """
        prometheus_client.start_http_server(port, host, registry=self._registry)
