"""The state of the upstream beside an agent, as the agent observes it.

Only the agent's own connections count: a refused or broken connection means
that the upstream went down, and what answers after that is a new upstream.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

from absl import logging
from transitions import Machine

from ragwortpost.request import Ramp


class UpstreamState(Enum):
    """States of an upstream."""

    DOWN = 'down'
    UP = 'up'
    LEAVING = 'leaving'


_TRANSITIONS: Final = (
    ('answered', [UpstreamState.DOWN], UpstreamState.UP),
    ('restarted', [UpstreamState.UP], UpstreamState.UP),
    ('failed', [UpstreamState.UP], UpstreamState.DOWN),
    ('leave', [UpstreamState.DOWN, UpstreamState.UP], UpstreamState.LEAVING),
    ('rejoin', [UpstreamState.LEAVING], UpstreamState.DOWN),
)


class UpstreamLifecycle:
    """The state machine of one upstream; a new one restarts the ramp."""

    def __init__(self, ramp: Ramp) -> None:
        """Initialize in the state of an upstream that has not answered."""
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
        """Record that the upstream accepted a connection."""
        if self.current is UpstreamState.DOWN:
            self._ramp.restart()
        self._trigger('answered')

    def restarted(self) -> None:
        """Record that a new upstream has taken the place of the old one."""
        self._ramp.restart()
        self._trigger('restarted')

    def failed(self) -> None:
        """Record that the upstream refused a connection."""
        self._trigger('failed')

    def leave(self) -> None:
        """Record that operators or the platform marked the upstream leaving."""
        self._trigger('leave')

    def rejoin(self) -> None:
        """Record that the upstream is no longer marked leaving."""
        self._trigger('rejoin')

    def _trigger(self, trigger: str) -> None:
        if getattr(self, f'may_on_{trigger}')():
            getattr(self, f'on_{trigger}')()

    def _on_change(self) -> None:
        logging.info('event=upstream state=%s', self.current.value)
        for listener in self._listeners:
            listener()
