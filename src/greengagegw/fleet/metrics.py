"""Prometheus metrics of the VMs of a fleet.

They are derived from log messages, so every logged decision is counted, even
if its line was dropped from the log.
"""

import collections.abc
import functools
import typing

import prometheus_client

# Dense around the usual latency objectives, 0.45 s to 1.2 s.
LATENCY_BUCKETS_SECONDS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0, 1.2, 2, 4, 8, 12,
)  # fmt: skip
ERROR_BUCKETS_SECONDS = (
    -1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2,
)  # fmt: skip
# The longest wait is an eighth of the latency objective.
WAIT_BUCKETS_SECONDS = (0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.3, 0.6)

COST_BUCKETS = (
    0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000,
)  # fmt: skip
COST_RATIO_BUCKETS = (
    0.1, 0.25, 0.5, 0.67, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 4, 10,
)  # fmt: skip


class FleetMetrics:
    """Metrics of one process, updated by a call for each log message.

    Label values come only from the code and the configuration, never from
    requests, so that the number of time series is bounded.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.events = prometheus_client.Counter(
            'greengagegw_events',
            'Decisions and changes of belief, by the name of their log line',
            ('event',),
            registry=self.registry,
        )
        self.requests = prometheus_client.Counter(
            'greengagegw_requests',
            'Requests by outcome; answered or the error code',
            ('outcome',),
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            'greengagegw_request_seconds',
            'Seconds from a request to the end of its answer',
            ('outcome',),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.response_start_seconds = prometheus_client.Histogram(
            'greengagegw_answer_begins_seconds',
            'Seconds from sending a request until its answer begins',
            ('service',),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.prediction_error_seconds = prometheus_client.Histogram(
            'greengagegw_prediction_error_seconds',
            'How much later an answer began than was predicted',
            ('service',),
            buckets=ERROR_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.predicted_cost = prometheus_client.Histogram(
            'greengagegw_predicted_cost',
            'Predicted events of a response, or seconds of a plain call',
            ('route',),
            buckets=COST_BUCKETS,
            registry=self.registry,
        )
        self.observed_cost = prometheus_client.Histogram(
            'greengagegw_observed_cost',
            'Events of a response, or seconds of a plain call',
            ('route',),
            buckets=COST_BUCKETS,
            registry=self.registry,
        )
        self.cost_ratio = prometheus_client.Histogram(
            'greengagegw_cost_ratio',
            'Observed cost relative to the predicted mean',
            ('route',),
            buckets=COST_RATIO_BUCKETS,
            registry=self.registry,
        )
        self.waited_seconds = prometheus_client.Histogram(
            'greengagegw_waited_seconds',
            'Seconds for which requests waited for capacity',
            ('service',),
            buckets=WAIT_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.waiting = prometheus_client.Gauge(
            'greengagegw_waiting',
            'Requests that wait for capacity',
            ('service',),
            registry=self.registry,
        )
        self.returns = prometheus_client.Counter(
            'greengagegw_returns',
            'Returns of rejected clients: promised, kept or broken',
            ('service', 'state'),
            registry=self.registry,
        )
        self.organisation_work = prometheus_client.Counter(
            'greengagegw_organisation_work_seconds',
            'Server seconds of admitted requests',
            ('service', 'organisation'),
            registry=self.registry,
        )
        self.share_factor = prometheus_client.Gauge(
            'greengagegw_share_factor',
            'Factor on the limit of an organisation beyond its share',
            ('service', 'organisation'),
            registry=self.registry,
        )

        self.gauges: dict[str, prometheus_client.Gauge] = {}
        # Finding a time series by its labels takes longer than updating it.
        self.find_series = functools.cache(
            lambda metric, label: metric.labels(label)
        )

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Updates the metrics from a log message."""
        find_series = self.find_series
        name = message.get('message_type', '')
        find_series(self.events, name).inc()
        if name == 'request:ended':
            outcome = message['outcome']
            find_series(self.requests, outcome).inc()
            find_series(self.request_seconds, outcome).observe(
                message['seconds']
            )
        elif name == 'request:begun':
            service = message['service']
            seconds = message['seconds']
            find_series(self.response_start_seconds, service).observe(seconds)
            find_series(self.prediction_error_seconds, service).observe(
                seconds - message['predicted']
            )
        elif name == 'request:cost':
            route, observed = message['route'], message['observed']
            self.predicted_cost.labels(route).observe(message['predicted'])
            self.observed_cost.labels(route).observe(observed)
            if message['predicted'] > 0:
                self.cost_ratio.labels(route).observe(
                    observed / message['predicted']
                )

        elif name == 'request:waited':
            find_series(self.waited_seconds, message['service']).observe(
                message['seconds']
            )
        elif name == 'service:shares':
            self.record_shares(message)

    def record_shares(self, message: dict[str, typing.Any]) -> None:
        service = message['service']
        self.waiting.labels(service).set(message['waiting'])
        for state in ('promised', 'kept', 'broken'):
            self.returns.labels(service, state).inc(message[state])
        # At most 32 organisations at a time, and those of the configuration
        # over all.
        for organisation, work in message['work'].items():
            self.organisation_work.labels(service, organisation).inc(work)
            self.share_factor.labels(service, organisation).set(
                message['factors'].get(organisation, 1.0)
            )

    def add_gauge(
        self,
        name: str,
        help_text: str,
        read_value: collections.abc.Callable[[], float],
        **labels: str,
    ) -> None:
        """Adds a gauge whose value is read whenever metrics are scraped.

        :param labels: of the time series; one gauge can have several.
        """
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = self.gauges[name] = prometheus_client.Gauge(
                name, help_text, tuple(labels), registry=self.registry
            )
        series = gauge.labels(**labels) if labels else gauge
        series.set_function(read_value)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
