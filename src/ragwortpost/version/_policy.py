"""Limits that each level of the settings inherits or overrides."""

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
    """State that operators set for a service, data centre or upstream."""

    # Accepts new connections and new work.
    IN = 'in'
    # Accepts no new connections and no new work; existing ones may finish.
    LEAVING = 'leaving'
    # Receives no packets; its connections are closed.
    OUT = 'out'


PolicyValue: TypeAlias = int | float | timedelta | AdminState


@dataclass(frozen=True)
class Policy:
    """Effective limits of one upstream after inheritance."""

    # Maximum number of requests that the upstream runs concurrently.
    slots: int = 1
    # Maximum number of connections that the upstream's agent keeps open.
    connections: int = 2000
    # Maximum number of requests that wait for a slot.
    queue: int = 16
    # Maximum time that a request waits for a slot.
    queue_timeout: timedelta = timedelta(milliseconds=500)
    # Timeout of a request that specifies none.
    timeout: timedelta = timedelta(seconds=10)
    # Time from a start of the upstream until it has full capacity.
    ramp: timedelta = timedelta(seconds=10)
    # Share of capacity at the start of the ramp, in (0, 1].
    ramp_start: float = 0.1
    # Relative share of the service's new connections.
    weight: int = 100
    # Maximum time that a leaving agent waits for its requests to finish.
    drain: timedelta = timedelta(seconds=30)
    # The most restrictive state of the upstream and the levels above it.
    state: AdminState = AdminState.IN


class _ValueType(Enum):
    """Syntax of the value of a policy key."""

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
    """Parse the value of ``key``, which must be in POLICY_KEYS."""
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
