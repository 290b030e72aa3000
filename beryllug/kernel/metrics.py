"""Metrics of a process through OpenTelemetry, exposed to Prometheus over HTTP.

Services keep plain numbers and return them on request, as they do for the dump.
Nothing is exported or locked while requests are served; the cost is incurred
when metrics are scraped.
"""

import functools
import itertools
import resource
import time
from collections import defaultdict
from collections.abc import Iterable

from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from prometheus_client import exposition, metrics_core
from prometheus_client import registry as collectors

from beryllug.kernel import metrics_data, registry

PREFIX = 'beryllug'


class _HistogramCollector(collectors.Collector):
    """Collects the current histograms of all services."""

    def __init__(self, services: registry.Registry) -> None:
        self._services = services

    def collect(self) -> Iterable[metrics_core.HistogramMetricFamily]:
        families: dict[str, metrics_core.HistogramMetricFamily] = {}
        for service in self._services.services():
            if isinstance(service, metrics_data.Timed):
                for times in service.times():
                    _add_histogram(families, times)
        return families.values()


def _add_histogram(
    families: dict[str, metrics_core.HistogramMetricFamily],
    times: metrics_data.LabeledHistogram,
) -> None:
    family = families.get(times.name)
    if family is None:
        family = metrics_core.HistogramMetricFamily(
            f'{PREFIX}_{times.name}', times.about, labels=list(times.labels)
        )
        families[times.name] = family
    bounds = [*map(str, metrics_data.BOUNDS), '+Inf']
    cumulative = itertools.accumulate(times.histogram.counts)
    family.add_metric(
        list(times.labels.values()),
        list(zip(bounds, cumulative)),
        times.histogram.total_s,
    )


class Metrics:
    """Collects samples of all services at each scrape."""

    def __init__(self, services: registry.Registry) -> None:
        """Bind to the services; instruments are created at the first scrape."""
        self._services = services
        self._started_at = time.monotonic()
        self._instrumented: set[str] = set()
        self._latest: dict[str, list[metrics_data.Sample]] = {}
        self._registry = collectors.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            prefix=PREFIX,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._registry.register(_HistogramCollector(services))
        self._provider = sdk_metrics.MeterProvider(
            [reader], shutdown_on_exit=False
        )
        self._meter = self._provider.get_meter(PREFIX)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        grouped: dict[str, list[metrics_data.Sample]] = defaultdict(list)
        for sample in self._collect_samples():
            grouped[sample.name].append(sample)
        self._latest = grouped
        for name, samples in grouped.items():
            if name not in self._instrumented:
                self._instrumented.add(name)
                self._create_instrument(samples[0])
        rendered: bytes = exposition.generate_latest(self._registry)
        return rendered

    def stop(self) -> None:
        """Release the instruments."""
        self._provider.shutdown()

    def _collect_samples(self) -> Iterable[metrics_data.Sample]:
        yield from self._process_samples()
        for service in self._services.services():
            if isinstance(service, metrics_data.Measured):
                yield from service.measure()

    def _process_samples(self) -> Iterable[metrics_data.Sample]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        yield metrics_data.Sample(
            'process_cpu_seconds',
            usage.ru_utime + usage.ru_stime,
            'Processor time used so far.',
            metrics_data.Kind.COUNTER,
        )
        yield metrics_data.Sample(
            'process_peak_memory_kibibytes',
            usage.ru_maxrss,
            'Most resident memory so far.',
        )
        yield metrics_data.Sample(
            'process_uptime_seconds',
            time.monotonic() - self._started_at,
            'Time since the start.',
        )

    def _create_instrument(self, sample: metrics_data.Sample) -> None:
        observe = functools.partial(self._observe, sample.name)
        match sample.kind:
            case metrics_data.Kind.GAUGE:
                self._meter.create_observable_gauge(
                    sample.name, [observe], description=sample.about
                )
            case metrics_data.Kind.COUNTER:
                self._meter.create_observable_counter(
                    sample.name, [observe], description=sample.about
                )

    def _observe(
        self, name: str, options: metrics.CallbackOptions
    ) -> Iterable[metrics.Observation]:
        for sample in self._latest.get(name, ()):
            yield metrics.Observation(sample.number, dict(sample.labels))
