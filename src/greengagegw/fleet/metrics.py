"""Counters and histograms of the VMs of a fleet.

They are taken from the log's messages, so that a decision that is logged is
also counted, whether or not its line found room in the log.
"""

import collections.abc
import typing

import prometheus_client

# Around the latency objectives in use, 0.45 s to 1.2 s.
SECONDS_BUCKETS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0, 1.2, 2, 4, 8, 12,
)  # fmt: skip
ERROR_BUCKETS = (-1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2)


class FleetMetrics:
    """The metrics of one process; call it with each message of the log.

    Labels come from the code and the configuration only, never from what a
    caller sends, so that their number is bounded.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.events = prometheus_client.Counter(
            'greengagegw_events',
            'Decisions and changes of belief, by the name of their log line',
            ('event',),
            registry=self.registry,
        )
        self.ended = prometheus_client.Counter(
            'greengagegw_requests',
            'Requests by outcome; answered or the error code',
            ('outcome',),
            registry=self.registry,
        )
        self.seconds = prometheus_client.Histogram(
            'greengagegw_request_seconds',
            'Seconds from a request to the end of its answer',
            ('outcome',),
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.begun = prometheus_client.Histogram(
            'greengagegw_answer_begins_seconds',
            'Seconds from sending a request until its answer begins',
            ('service',),
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.error = prometheus_client.Histogram(
            'greengagegw_prediction_error_seconds',
            'How much later an answer began than was predicted',
            ('service',),
            buckets=ERROR_BUCKETS,
            registry=self.registry,
        )

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Counts a message of the log."""
        name = message.get('message_type', '')
        self.events.labels(name).inc()
        if name == 'request:ended':
            outcome = message['outcome']
            self.ended.labels(outcome).inc()
            self.seconds.labels(outcome).observe(message['seconds'])
        elif name == 'request:begun':
            service = message['service']
            seconds = message['seconds']
            self.begun.labels(service).observe(seconds)
            self.error.labels(service).observe(seconds - message['predicted'])

    def add_gauge(
        self,
        name: str,
        text: str,
        read: collections.abc.Callable[[], float],
    ) -> None:
        """Shows a value that is read when the metrics are asked for."""
        gauge = prometheus_client.Gauge(name, text, registry=self.registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)
