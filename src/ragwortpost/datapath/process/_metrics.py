"""Counters and latency histograms, rendered in the OpenMetrics text format.

The OpenTelemetry SDK and the Prometheus client each take about a hundred
milliseconds of processor time to import, during which no packet is forwarded;
the text format itself takes a few lines.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

# Upper bounds of the histogram's buckets, in seconds: from a round trip within
# a data centre to a store call that timed out.
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
    """Durations by bucket."""

    def __init__(self) -> None:
        """Start empty."""
        self._counts = [0 for _ in (*BUCKET_SECONDS, None)]
        self._sum: float = 0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self._counts[bisect_left(BUCKET_SECONDS, seconds)] += 1
        self._sum += seconds

    def render(self, name: str) -> Iterator[str]:
        """Yield the lines of the text format."""
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
    """All figures of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        # What happened, by event and reason.
        self.events: Final[Counter[str]] = Counter()
        # From the question who holds a flow to its holder's answer.
        self.lookup_seconds: Final = Histogram()
        # From the first packet of a flow to the upstream's acceptance.
        self.accept_seconds: Final = Histogram()
        # Calls to the store that are answered at once.
        self.store_call_seconds: Final = Histogram()
        # How much later than asked the event loop ran a timer.
        self.loop_lag_seconds: Final = Histogram()

    def render(self, gauges: Mapping[str, float]) -> str:
        """Return the figures, with the gauges given, as text."""
        return '\n'.join((*self._lines(gauges), '# EOF', ''))

    def _lines(self, gauges: Mapping[str, float]) -> Iterator[str]:
        name = f'{_PREFIX}_events'
        yield f'# TYPE {name} counter'
        for event, count in sorted(self.events.items()):
            yield f'{name}_total{{event="{event}"}} {count}'
        for gauge, reading in gauges.items():
            yield f'# TYPE {_PREFIX}_{gauge} gauge'
            yield f'{_PREFIX}_{gauge} {reading}'
        histograms = {
            'search_seconds': self.lookup_seconds,
            'opening_seconds': self.accept_seconds,
            'store_call_seconds': self.store_call_seconds,
            'loop_lag_seconds': self.loop_lag_seconds,
        }
        for suffix, histogram in histograms.items():
            yield from histogram.render(f'{_PREFIX}_{suffix}')
