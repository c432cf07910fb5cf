"""Counters and latency histograms, rendered in the OpenMetrics text format.

This module uses neither the OpenTelemetry SDK nor the Prometheus client:
importing either takes about a hundred milliseconds of CPU time, during which
no packet is forwarded, and the text format itself takes only a few lines.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

from ragwortpost.datapath.process._message_meter import MessageMeter

# Upper bounds of the histogram buckets: from a round trip within a data centre
# to a store call that timed out.
BUCKET_SECONDS: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
)
MEDIA_TYPE: Final = 'application/openmetrics-text; version=1.0.0'
_PREFIX: Final = 'ragwortpost'


class Histogram:
    """Histogram of durations."""

    def __init__(self) -> None:
        """Initialize with empty buckets."""
        self._counts = [0 for _ in (*BUCKET_SECONDS, None)]
        self._sum: float = 0

    def observe(self, seconds: float) -> None:
        """Count a duration in its bucket."""
        self._counts[bisect_left(BUCKET_SECONDS, seconds)] += 1
        self._sum += seconds

    def render(self, name: str) -> Iterator[str]:
        """Yield the histogram's lines in the text format."""
        yield f'# TYPE {name} histogram'
        total = 0
        upper_bounds = (
            *(str(upper_bound) for upper_bound in BUCKET_SECONDS),
            '+Inf',
        )
        for upper_bound, count in zip(upper_bounds, self._counts, strict=True):
            total += count
            yield f'{name}_bucket{{le="{upper_bound}"}} {total}'
        yield f'{name}_sum {self._sum:.6f}'
        yield f'{name}_count {total}'


class Metrics:
    """Metrics of one packet-level process."""

    def __init__(self) -> None:
        """Initialize all metrics with zero."""
        # Number of events, by name.
        self.events: Final[Counter[str]] = Counter()
        # Messages by kind and direction, and the processor time of each kind.
        self.messages: Final = MessageMeter()
        # From the first query for a flow's holder to the holder's reply.
        self.lookup_seconds: Final = Histogram()
        # From a new flow's first packet to the upstream's acceptance.
        self.accept_seconds: Final = Histogram()
        # Duration of store probes.
        self.store_call_seconds: Final = Histogram()
        # Delay of the event loop's timers.
        self.loop_lag_seconds: Final = Histogram()

    def render(self, gauges: Mapping[str, float]) -> str:
        """Return the metrics and the given gauges in the text format."""
        return '\n'.join((*self._lines(gauges), '# EOF', ''))

    def _lines(self, gauges: Mapping[str, float]) -> Iterator[str]:
        name = f'{_PREFIX}_events'
        yield f'# TYPE {name} counter'
        for event, count in sorted(self.events.items()):
            yield f'{name}_total{{event="{event}"}} {count}'
        for gauge, reading in gauges.items():
            yield f'# TYPE {_PREFIX}_{gauge} gauge'
            yield f'{_PREFIX}_{gauge} {reading}'
        yield from self.messages.render(_PREFIX)
        histograms = {
            'search_seconds': self.lookup_seconds,
            'opening_seconds': self.accept_seconds,
            'store_call_seconds': self.store_call_seconds,
            'loop_lag_seconds': self.loop_lag_seconds,
        }
        for suffix, histogram in histograms.items():
            yield from histogram.render(f'{_PREFIX}_{suffix}')
