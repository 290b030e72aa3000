"""Metrics of a process, by OpenTelemetry, read over HTTP by Prometheus.

A service keeps plain numbers and shows them when asked, as it does for the
dump. Nothing is exported or locked while requests are served; the cost falls
on whoever reads.
"""

import functools
import resource
import time
from collections import defaultdict
from collections.abc import Iterable, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple, Protocol, runtime_checkable

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics

from beryllug.kernel import registry

PREFIX = 'beryllug'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
NO_LABELS: Mapping[str, str] = MappingProxyType({})


class Kind(StrEnum):
    """How a number moves."""

    GAUGE = 'gauge'
    COUNTER = 'counter'


class Sample(NamedTuple):
    """One number at the moment it was read.

    Attributes:
        name: Its name without prefix, as ``config_revision``.
        number: Its value, in the unit that the name states.
        about: What it means.
        kind: A gauge moves both ways, a counter only up.
        labels: What tells it from others of its name; few and bounded.
    """

    name: str
    number: float
    about: str
    kind: Kind = Kind.GAUGE
    labels: Mapping[str, str] = NO_LABELS


@runtime_checkable
class Measured(Protocol):
    """A service that has numbers to show."""

    def measure(self) -> Iterable[Sample]:
        """Return the present numbers."""


class Metrics:
    """Collects samples of all services when it is read."""

    def __init__(self, services: registry.Registry) -> None:
        """Bind to the services; instruments are made at the first read."""
        self._services = services
        self._started_at = time.monotonic()
        self._known: set[str] = set()
        self._latest: dict[str, list[Sample]] = {}
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            prefix=PREFIX,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = sdk_metrics.MeterProvider(
            [reader], shutdown_on_exit=False
        )
        self._meter = self._provider.get_meter(PREFIX)

    def render(self) -> bytes:
        """Return all numbers as Prometheus reads them."""
        grouped: dict[str, list[Sample]] = defaultdict(list)
        for sample in self._samples():
            grouped[sample.name].append(sample)
        self._latest = grouped
        for name, samples in grouped.items():
            if name not in self._known:
                self._known.add(name)
                self._instrument(samples[0])
        rendered: bytes = prometheus_client.generate_latest(self._registry)
        return rendered

    def stop(self) -> None:
        """Give the instruments back."""
        self._provider.shutdown()

    def _samples(self) -> Iterable[Sample]:
        yield from self._process()
        for service in self._services.services():
            if isinstance(service, Measured):
                yield from service.measure()

    def _process(self) -> Iterable[Sample]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        yield Sample(
            'process_cpu_seconds',
            usage.ru_utime + usage.ru_stime,
            'Processor time used so far.',
            Kind.COUNTER,
        )
        yield Sample(
            'process_peak_memory_kibibytes',
            usage.ru_maxrss,
            'Most resident memory so far.',
        )
        yield Sample(
            'process_uptime_seconds',
            time.monotonic() - self._started_at,
            'Time since the start.',
        )

    def _instrument(self, sample: Sample) -> None:
        observe = functools.partial(self._observe, sample.name)
        match sample.kind:
            case Kind.GAUGE:
                self._meter.create_observable_gauge(
                    sample.name, [observe], description=sample.about
                )
            case Kind.COUNTER:
                self._meter.create_observable_counter(
                    sample.name, [observe], description=sample.about
                )

    def _observe(
        self, name: str, options: metrics.CallbackOptions
    ) -> Iterable[metrics.Observation]:
        for sample in self._latest.get(name, ()):
            yield metrics.Observation(sample.number, dict(sample.labels))
