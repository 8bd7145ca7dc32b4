"""Prometheus metrics of a VM, served at ``/metrics``."""

import prometheus_client

FIRST_TOKEN_BUCKETS_SECONDS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.53, 0.75, 1, 2, 5, 10, 30,
)  # fmt: skip
BETWEEN_TOKENS_BUCKETS_SECONDS = (
    0.002, 0.005, 0.01, 0.02, 0.033, 0.05, 0.066, 0.1, 0.2, 0.5, 1, 5,
)  # fmt: skip


class Metrics:
    """Metrics of one VM, in a registry of their own.

    Label values come only from the table and the settings, never from
    requests, so that the number of time series is bounded.
    """

    def __init__(self) -> None:
        registry = prometheus_client.CollectorRegistry()
        self.registry = registry

        def counter(
            name: str, text: str, labels: tuple[str, ...] = ()
        ) -> prometheus_client.Counter:
            return prometheus_client.Counter(
                name, text, labels, registry=registry
            )

        self.requests = counter(
            'greengagegw_requests',
            'Requests by outcome; code is ok or the error code',
            ('organisation', 'service', 'code', 'run'),
        )
        self.tokens = counter(
            'greengagegw_tokens',
            'Tokens used',
            ('organisation', 'service'),
        )
        self.backend_server_seconds = counter(
            'greengagegw_runner_seconds',
            'Seconds that slots of backend servers were taken',
            ('service', 'organisation'),
        )
        self.forwarded = counter(
            'greengagegw_forwarded',
            'Requests run in another region',
            ('service', 'region'),
        )
        self.rejected_within_rate = counter(
            'greengagegw_refused_within_rate',
            'Refusals other than for the rate, or of a busy organisation',
            ('organisation', 'code'),
        )
        self.retries = counter(
            'greengagegw_retries',
            'Retries before the first byte',
            ('service',),
        )
        self.foreign_responses = counter(
            'greengagegw_foreign_responses',
            'Responses to other requests that were dropped',
            ('backend_server',),
        )
        self.resumes = counter(
            'greengagegw_resumes', 'Streams resumed at an offset', ('service',)
        )
        self.slow_responses = counter(
            'greengagegw_slow',
            'Answers slower than the objective, by which one was missed',
            ('organisation', 'service', 'objective'),
        )
        self.first_token_seconds = prometheus_client.Histogram(
            'greengagegw_first_token_seconds',
            'Seconds from the request to the first byte of the answer',
            ('organisation', 'service'),
            buckets=FIRST_TOKEN_BUCKETS_SECONDS,
            registry=registry,
        )
        self.between_tokens_seconds = prometheus_client.Histogram(
            'greengagegw_between_tokens_seconds',
            'Mean seconds between chunks, for each stream',
            ('organisation', 'service'),
            buckets=BETWEEN_TOKENS_BUCKETS_SECONDS,
            registry=registry,
        )
        self.requests_in_flight = prometheus_client.Gauge(
            'greengagegw_requests_in_flight',
            'Requests being handled',
            registry=registry,
        )
        self.revision = prometheus_client.Gauge(
            'greengagegw_revision',
            'Revision of the configuration in force',
            registry=registry,
        )
        self.backend_server_load = prometheus_client.Gauge(
            'greengagegw_runner_load',
            'Requests that a backend server is thought to hold',
            ('backend_server',),
            registry=registry,
        )
        self.backend_server_limit = prometheus_client.Gauge(
            'greengagegw_runner_limit',
            'Requests that a backend server may hold',
            ('backend_server',),
            registry=registry,
        )
        self.queue_length = prometheus_client.Gauge(
            'greengagegw_queue_length',
            'Requests that wait for a backend server',
            ('service',),
            registry=registry,
        )
        self.tokens_held = prometheus_client.Gauge(
            'greengagegw_tokens_held',
            'Tokens of the allowance that this VM holds',
            ('organisation',),
            registry=registry,
        )
        self.peer_bytes_sent = prometheus_client.Gauge(
            'greengagegw_peer_bytes_sent',
            'Bytes sent to other VMs',
            registry=registry,
        )
        self.request_memory = prometheus_client.Gauge(
            'greengagegw_request_memory_bytes',
            "Memory that clients' requests hold",
            registry=registry,
        )
        self.request_memory_limit = prometheus_client.Gauge(
            'greengagegw_request_memory_limit_bytes',
            "Memory that clients' requests may hold",
            registry=registry,
        )
        self.client_connections = prometheus_client.Gauge(
            'greengagegw_client_connections',
            'Connections of clients and operators',
            registry=registry,
        )
        self.client_connections_limit = prometheus_client.Gauge(
            'greengagegw_client_connections_limit',
            'Connections that clients and operators may have',
            registry=registry,
        )
        self.intake_rejected = prometheus_client.Gauge(
            'greengagegw_intake_rejected',
            'Requests and connections that gave way, by reason',
            ('reason',),
            registry=registry,
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
