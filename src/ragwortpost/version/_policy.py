"""The limits that each level of the settings tree inherits or overrides."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from types import MappingProxyType
from typing import Final, TypeAlias

from result import Err, Ok, Result

from ragwortpost.version._value_parsers import (
    ParseError,
    parse_count,
    parse_duration,
    parse_share,
)


class AdminState(Enum):
    """What operators want of a service, data centre or upstream."""

    # Takes new flows and new work.
    IN = 'in'
    # Takes no new flows and no new work; what runs may end.
    LEAVING = 'leaving'
    # Takes no packets; flows that end there are given up.
    OUT = 'out'


PolicyValue: TypeAlias = int | float | timedelta | AdminState


@dataclass(frozen=True)
class Policy:
    """Effective limits of one upstream after inheritance."""

    # Requests that the upstream runs at once.
    slots: int = 1
    # Connections that the upstream's agent keeps open.
    connections: int = 2000
    # Requests that may wait for a slot.
    queue: int = 16
    # How long a request may wait for a slot.
    queue_timeout: timedelta = timedelta(milliseconds=500)
    # Deadline of a request that names none.
    timeout: timedelta = timedelta(seconds=10)
    # How long after a start the upstream takes to reach full capacity.
    ramp: timedelta = timedelta(seconds=10)
    # Share of capacity that the upstream bears at its start, in (0, 1].
    ramp_start: float = 0.1
    # Share of new flows relative to the service's other upstreams.
    weight: int = 100
    # How long a leaving agent waits for its requests to end.
    drain: timedelta = timedelta(seconds=30)
    # The most restrictive state of the upstream and the levels above it.
    state: AdminState = AdminState.IN


class _ValueType(Enum):
    """The form in which a key's setting is written."""

    COUNT = 'count'
    POSITIVE = 'positive'
    DURATION = 'duration'
    SHARE = 'share'
    STATE = 'state'


POLICY_KEYS: Final[Mapping[str, _ValueType]] = MappingProxyType(
    {
        'slots': _ValueType.POSITIVE,
        'connections': _ValueType.POSITIVE,
        'queue': _ValueType.COUNT,
        'queue-timeout': _ValueType.DURATION,
        'timeout': _ValueType.DURATION,
        'ramp': _ValueType.DURATION,
        'ramp-start': _ValueType.SHARE,
        'weight': _ValueType.POSITIVE,
        'drain': _ValueType.DURATION,
        'state': _ValueType.STATE,
    }
)


def parse_policy_value(key: str, text: str) -> Result[PolicyValue, ParseError]:
    """Read one inheritable setting; ``key`` must stand in POLICY_KEYS."""
    match POLICY_KEYS[key]:
        case _ValueType.COUNT:
            return parse_count(text)
        case _ValueType.POSITIVE:
            return _parse_positive(text)
        case _ValueType.DURATION:
            return parse_duration(text)
        case _ValueType.SHARE:
            return parse_share(text)
        case _ValueType.STATE:
            return _parse_state(text)


def _parse_positive(text: str) -> Result[int, ParseError]:
    match parse_count(text):
        case Ok(0):
            return Err(ParseError('a whole number above zero', text))
        case parsed:
            return parsed


def _parse_state(text: str) -> Result[AdminState, ParseError]:
    try:
        return Ok(AdminState(text))
    except ValueError:
        return Err(ParseError('one of in, leaving, out', text))
