"""The state of the upstream beside an agent, as the agent observes it.

Only the agent's own connections and probes decide whether the upstream is up.
After a refused or broken connection, the process that responds next is treated
as a new upstream, whose ramp starts again; so is one whose health response
reports another start time.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

from absl import logging
from transitions import Machine

from ragwortpost.request import Ramp


class UpstreamState(Enum):
    """States of an upstream."""

    # Has not responded since its start, its last failure or a rejoin.
    DOWN = 'down'
    # May be sent requests.
    UP = 'up'
    # Gets no new requests.
    LEAVING = 'leaving'


_TRANSITIONS: Final = (
    ('answered', [UpstreamState.DOWN], UpstreamState.UP),
    ('restarted', [UpstreamState.UP], UpstreamState.UP),
    ('failed', [UpstreamState.UP], UpstreamState.DOWN),
    ('leave', [UpstreamState.DOWN, UpstreamState.UP], UpstreamState.LEAVING),
    ('rejoin', [UpstreamState.LEAVING], UpstreamState.DOWN),
)


class UpstreamLifecycle:
    """The state machine of one upstream; a new process restarts its ramp."""

    def __init__(self, ramp: Ramp) -> None:
        """Initialize with the ramp; the upstream counts as down."""
        self._ramp = ramp
        self._machine = Machine(
            model=None,
            states=UpstreamState,
            initial=UpstreamState.DOWN,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )
        self._machine.add_model(self, initial=UpstreamState.DOWN)
        for trigger, sources, target in _TRANSITIONS:
            self._machine.add_transition(
                f'on_{trigger}',
                list(sources),
                target,
                after=self._on_change,
            )
        self._listeners: list[Callable[[], None]] = []

    @property
    def current(self) -> UpstreamState:
        """The current state."""
        state: UpstreamState = self.state  # type: ignore[attr-defined]
        return state

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each transition."""
        self._listeners.append(listener)

    def answered(self) -> None:
        """Record that the upstream responded to a health probe."""
        if self.current is UpstreamState.DOWN:
            self._ramp.restart()
        self._trigger('answered')

    def restarted(self) -> None:
        """Record that a new upstream process responds in place of the old."""
        self._ramp.restart()
        self._trigger('restarted')

    def failed(self) -> None:
        """Record that the upstream refused a connection."""
        self._trigger('failed')

    def leave(self) -> None:
        """Record that the upstream or its agent is leaving or was removed."""
        self._trigger('leave')

    def rejoin(self) -> None:
        """Record that the upstream stays; it is down until it responds."""
        self._trigger('rejoin')

    def _trigger(self, trigger: str) -> None:
        if getattr(self, f'may_on_{trigger}')():
            getattr(self, f'on_{trigger}')()

    def _on_change(self) -> None:
        logging.info('event=upstream state=%s', self.current.value)
        for listener in self._listeners:
            listener()
