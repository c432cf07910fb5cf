"""Parses the settings tree and resolves inheritance between its levels.

Levels, from the top: the built-in defaults, ``[defaults]``, ``[service S]``,
``[data-centre D]``, ``[data-centre S/D]`` and ``[upstream S/D/N]``. A lower
level overrides only the keys that it sets, except ``state``: the most
restrictive state of all levels is in force. ``[upstream S/D/1-40]`` defines
forty upstreams with consecutive addresses; a section for a single one of them
overrides keys of that one. Of overlapping ranges the later one applies.
"""

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, TypeAlias

from result import Err, Ok, Result

from ragwortpost.version._ini import IniEntry, IniSection, parse_ini
from ragwortpost.version._policy import (
    POLICY_KEYS,
    AdminState,
    Policy,
    PolicyValue,
    parse_policy_value,
)
from ragwortpost.version._settings_errors import (
    AddressConflictError,
    DanglingReferenceError,
    InvalidValueError,
    MissingKeyError,
    SettingsError,
    UnknownKeyError,
    UnknownSectionError,
)
from ragwortpost.version._snapshot import (
    Service,
    ShortId,
    Snapshot,
    Upstream,
    short_id,
)
from ragwortpost.version._value_parsers import SocketAddress, parse_address

_NAME: Final = '[a-z0-9][a-z0-9.-]{0,62}'
_SECTION_NAME: Final = re.compile(
    f'(?P<defaults>defaults)|service (?P<service>{_NAME})'
    + f'|data-centre (?P<data_centre>{_NAME}(/{_NAME})?)'
    + f'|upstream (?P<range>{_NAME}/{_NAME}/[0-9]{{1,6}}-[0-9]{{1,6}})'
    + f'|upstream (?P<upstream>{_NAME}/{_NAME}/{_NAME})',
)
_RANGE: Final = 'range'
_UPSTREAM: Final = 'upstream'
_MAX_RANGE_SIZE: Final = 65536
_ADDRESSED_KINDS: Final = frozenset(('service', 'upstream', _RANGE))
_STATES_LEAST_RESTRICTIVE_FIRST: Final = (
    AdminState.IN,
    AdminState.LEAVING,
    AdminState.OUT,
)

_Overrides: TypeAlias = Mapping[str, PolicyValue]


@dataclass(frozen=True)
class SettingsLevel:
    """One section of the settings with its parsed entries."""

    # Section that the level was parsed from.
    section: IniSection
    # Kind: defaults, service, data_centre, upstream or range.
    kind: str
    # Name after the kind; ``defaults`` for the defaults.
    name: str
    # Overridden fields of :class:`Policy`, by name.
    overrides: _Overrides = field(default_factory=dict)
    # Address of a service, upstream or range.
    address: SocketAddress | None = None


@dataclass(frozen=True)
class SettingsTree:
    """All levels of a settings text, by kind and name."""

    # Levels by kind and name, with ranges expanded to upstreams.
    levels: Mapping[tuple[str, str], SettingsLevel]

    def inheritance_chain(self, upstream: str) -> Sequence[SettingsLevel]:
        """Return the levels that an upstream inherits from, top first."""
        service, data_centre, _ = upstream.split('/')
        keys = (
            ('defaults', 'defaults'),
            ('service', service),
            ('data_centre', data_centre),
            ('data_centre', f'{service}/{data_centre}'),
            (_UPSTREAM, upstream),
        )
        return [self.levels[key] for key in keys if key in self.levels]

    def of_kind(self, kind: str) -> Sequence[SettingsLevel]:
        """Return the levels of one kind."""
        return [level for level in self.levels.values() if level.kind == kind]


def parse_tree(body: bytes) -> Result[SettingsTree, SettingsError]:
    """Parse a settings text; do not check references or address conflicts."""
    match parse_ini(body):
        case Err() as failure:
            return failure
        case Ok(sections):
            return _parse_levels(sections)


def parse_snapshot(
    version: int,
    body: bytes,
) -> Result[Snapshot, SettingsError]:
    """Parse and resolve a settings text, or return why it is rejected."""
    match parse_tree(body):
        case Err() as failure:
            return failure
        case Ok(tree):
            return _resolve(version, body, tree)


def effective_policy(chain: Sequence[SettingsLevel]) -> Policy:
    """Merge the overrides of a chain of levels, top first."""
    policy = Policy()
    state = AdminState.IN
    for level in chain:
        policy = replace(policy, **level.overrides)  # type: ignore[arg-type]
        state = max(
            state, policy.state, key=_STATES_LEAST_RESTRICTIVE_FIRST.index
        )
        policy = replace(policy, state=state)
    return policy


def _parse_levels(
    sections: Sequence[IniSection],
) -> Result[SettingsTree, SettingsError]:
    levels: list[SettingsLevel] = []
    for section in sections:
        match _parse_level(section):
            case Err() as failure:
                return failure
            case Ok(level):
                levels.append(level)
    return _build_tree(levels)


def _build_tree(
    levels: Sequence[SettingsLevel],
) -> Result[SettingsTree, SettingsError]:
    match _expand_ranges([level for level in levels if level.kind == _RANGE]):
        case Err() as failure:
            return failure
        case Ok(members):
            indexed = members
    for level in levels:
        if level.kind == _RANGE:
            continue
        key = (level.kind, level.name)
        indexed[key] = _merge(indexed.get(key), level)
        if level.kind in _ADDRESSED_KINDS and indexed[key].address is None:
            return Err(MissingKeyError(level.section.location, 'address'))
    return Ok(SettingsTree(indexed))


def _expand_ranges(
    ranges: Sequence[SettingsLevel],
) -> Result[dict[tuple[str, str], SettingsLevel], SettingsError]:
    indexed: dict[tuple[str, str], SettingsLevel] = {}
    for range_level in ranges:
        match _expand_range(range_level):
            case Err() as failure:
                return failure
            case Ok(members):
                indexed.update(
                    ((_UPSTREAM, member.name), member) for member in members
                )
    return Ok(indexed)


def _expand_range(
    range_level: SettingsLevel,
) -> Result[Sequence[SettingsLevel], SettingsError]:
    prefix, _, bounds = range_level.name.rpartition('/')
    first, last = (int(bound) for bound in bounds.split('-'))
    if range_level.address is None:
        return Err(MissingKeyError(range_level.section.location, 'address'))
    if not first <= last < first + _MAX_RANGE_SIZE:
        return Err(InvalidValueError(range_level.section.location, bounds))
    members = []
    for number in range(first, last + 1):
        address = range_level.address.offset(number - first)
        if address is None:
            return Err(InvalidValueError(range_level.section.location, bounds))
        name = f'{prefix}/{number}'
        members.append(
            replace(range_level, kind=_UPSTREAM, name=name, address=address),
        )
    return Ok(members)


def _merge(
    range_member: SettingsLevel | None, level: SettingsLevel
) -> SettingsLevel:
    if range_member is None:
        return level
    return replace(
        level,
        overrides={**range_member.overrides, **level.overrides},
        address=level.address or range_member.address,
    )


def _parse_level(section: IniSection) -> Result[SettingsLevel, SettingsError]:
    match = _SECTION_NAME.fullmatch(section.name)
    if match is None:
        return Err(UnknownSectionError(section.location))
    kind = str(match.lastgroup)
    level = SettingsLevel(section, kind, match.group(kind))
    for key, entry in section.entries.items():
        match _parse_entry(level, key, entry):
            case Err() as failure:
                return failure
            case Ok(updated):
                level = updated
    return Ok(level)


def _parse_entry(
    level: SettingsLevel,
    key: str,
    entry: IniEntry,
) -> Result[SettingsLevel, SettingsError]:
    if key == 'address' and level.kind in _ADDRESSED_KINDS:
        match parse_address(entry.text):
            case Ok(address):
                return Ok(replace(level, address=address))
            case Err(problem):
                return _invalid_value(entry, problem.expected)
    if key not in POLICY_KEYS:
        return Err(UnknownKeyError(entry.location))
    match parse_policy_value(key, entry.text):
        case Ok(policy_value):
            overrides = {**level.overrides, key.replace('-', '_'): policy_value}
            return Ok(replace(level, overrides=overrides))
        case Err(problem):
            return _invalid_value(entry, problem.expected)


def _invalid_value(entry: IniEntry, expected: str) -> Err[SettingsError]:
    detail = f'found {entry.text!r}, expected {expected}'
    return Err(InvalidValueError(entry.location, detail))


def _resolve(
    version: int,
    body: bytes,
    tree: SettingsTree,
) -> Result[Snapshot, SettingsError]:
    failure = _check_references(tree) or _check_addresses(tree)
    if failure is not None:
        return Err(failure)
    upstreams: dict[ShortId, Upstream] = {}
    members: dict[str, list[Upstream]] = {}
    for level in tree.of_kind(_UPSTREAM):
        upstream = _resolve_upstream(tree, level)
        if upstream.ident in upstreams:
            return Err(
                AddressConflictError(level.section.location, 'equal short IDs')
            )
        upstreams[upstream.ident] = upstream
        members.setdefault(upstream.service, []).append(upstream)
    services = {
        level.name: _resolve_service(level, members.get(level.name, ()))
        for level in tree.of_kind('service')
    }
    return Ok(Snapshot(version, body, services, upstreams))


def _resolve_upstream(tree: SettingsTree, level: SettingsLevel) -> Upstream:
    service, data_centre, _ = level.name.split('/')
    assert level.address is not None  # noqa: S101
    return Upstream(
        name=level.name,
        ident=short_id(level.name),
        service=service,
        data_centre=data_centre,
        address=level.address,
        policy=effective_policy(tree.inheritance_chain(level.name)),
    )


def _resolve_service(
    level: SettingsLevel, members: Sequence[Upstream]
) -> Service:
    assert level.address is not None  # noqa: S101
    return Service(
        name=level.name,
        ident=short_id(level.name),
        address=level.address,
        upstreams=tuple(sorted(members, key=lambda member: member.name)),
    )


def _check_references(tree: SettingsTree) -> SettingsError | None:
    for level in tree.of_kind(_UPSTREAM):
        service, data_centre, _ = level.name.split('/')
        for key in (('service', service), ('data_centre', data_centre)):
            if key not in tree.levels:
                return DanglingReferenceError(level.section.location, key[1])
    for data_centre_level in tree.of_kind('data_centre'):
        for name in data_centre_level.name.split('/')[:-1]:
            if ('service', name) not in tree.levels:
                return DanglingReferenceError(
                    data_centre_level.section.location, name
                )
    return None


def _check_addresses(tree: SettingsTree) -> SettingsError | None:
    for kind in ('service', 'upstream'):
        names_by_address: dict[SocketAddress, str] = {}
        for level in tree.of_kind(kind):
            assert level.address is not None  # noqa: S101
            first_name = names_by_address.setdefault(level.address, level.name)
            if first_name != level.name:
                return AddressConflictError(level.section.location, first_name)
    return None
