"""Exports a process's status as OpenTelemetry metrics.

Hot paths count in plain integers, which the instruments read on collection. The
metric reader is in memory because a VM stores nothing: operators query it, and
an exporter can be added as another reader.
"""

import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import chain
from typing import Final

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    Metric,
    NumberDataPoint,
)

StatusSource = Callable[[], Mapping[str, object]]

_PREFIX: Final = 'ragwortpost'
# Prefixes of status fields whose part after the dot becomes an attribute.
_GROUPS: Final = frozenset(('dropped', 'requests'))


class ProcessMetrics:
    """OpenTelemetry instruments that observe a process's status."""

    def __init__(self, status: StatusSource) -> None:
        """Register the instruments; the status is read on collection only."""
        self._status = status
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter(_PREFIX)
        meter.create_observable_gauge(
            f'{_PREFIX}.state',
            callbacks=[self._observe_fields],
            description='numeric fields of the status, by field',
        )
        for group in sorted(_GROUPS):
            meter.create_observable_counter(
                f'{_PREFIX}.{group}',
                callbacks=[self._group_observer(group)],
                description=f'{group} since the start, by reason',
            )
        meter.create_observable_counter(
            f'{_PREFIX}.cpu_time',
            callbacks=[_observe_cpu],
            unit='s',
            description='processor time of the process',
        )

    def collect(self) -> Mapping[str, float]:
        """Collect the current values by metric name and attributes."""
        collected = self._reader.get_metrics_data()
        resources = collected.resource_metrics if collected else ()
        scopes = chain.from_iterable(
            resource.scope_metrics for resource in resources
        )
        metrics = chain.from_iterable(scope.metrics for scope in scopes)
        return dict(chain.from_iterable(map(_named_values, metrics)))

    def _observe_fields(self, _: CallbackOptions) -> Iterable[Observation]:
        for name, reading in self._status().items():
            if isinstance(reading, int | float) and '.' not in name:
                yield Observation(reading, {'field': name})

    def _group_observer(
        self,
        group: str,
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(  # noqa: WPS430
            _: CallbackOptions,
        ) -> Iterable[Observation]:
            for name, reading in self._status().items():
                head, dot, reason = name.partition('.')
                if dot and head == group and isinstance(reading, int):
                    yield Observation(reading, {'reason': reason})

        return observe


def _observe_cpu(_: CallbackOptions) -> Iterable[Observation]:
    yield Observation(time.process_time())


def _named_values(metric: Metric) -> Iterator[tuple[str, float]]:
    for point in metric.data.data_points:
        if isinstance(point, NumberDataPoint):
            yield _labelled_name(metric.name, point), point.value


def _labelled_name(metric: str, point: NumberDataPoint) -> str:
    attributes = point.attributes or {}
    labels = ','.join(
        f'{key}={attributes[key]!s}' for key in sorted(attributes)
    )
    return f'{metric}{{{labels}}}' if labels else metric
