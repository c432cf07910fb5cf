"""The life of the upstream beside an agent, as the agent sees it.

What the agent meets itself decides: a refused or broken connection means that
the upstream went down, and whatever answers after that is a new upstream.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

from absl import logging
from transitions import Machine

from ragwortpost.request import Ramp


class UpstreamState(Enum):
    """States of the upstream's life."""

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
    """Follows the upstream through starts, failures and its leaving."""

    def __init__(self, ramp: Ramp) -> None:
        """Begin with an upstream that has not answered yet."""
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
        """The state now."""
        state: UpstreamState = self.state  # type: ignore[attr-defined]
        return state

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def answered(self) -> None:
        """The upstream took a connection."""
        if self.current is UpstreamState.DOWN:
            self._ramp.restart()
        self._trigger('answered')

    def restarted(self) -> None:
        """The upstream was replaced by a new one between two connections."""
        self._ramp.restart()
        self._trigger('restarted')

    def failed(self) -> None:
        """The upstream refused a connection."""
        self._trigger('failed')

    def leave(self) -> None:
        """Operators or the platform say that the upstream leaves."""
        self._trigger('leave')

    def rejoin(self) -> None:
        """Operators or the platform took their word back."""
        self._trigger('rejoin')

    def _trigger(self, trigger: str) -> None:
        if getattr(self, f'may_on_{trigger}')():
            getattr(self, f'on_{trigger}')()

    def _on_change(self) -> None:
        logging.info('event=upstream state=%s', self.current.value)
        for listener in self._listeners:
            listener()
