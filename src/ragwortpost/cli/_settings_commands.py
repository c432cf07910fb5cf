"""Commands that check and explain a settings tree before it is published."""

from dataclasses import asdict
from typing import Final, TextIO

from result import Err, Ok

from ragwortpost.cli._exit_codes import ExitCode
from ragwortpost.platform import parse_settings
from ragwortpost.version import (
    SettingsLevel,
    SettingsTree,
    effective_policy,
    parse_snapshot,
    parse_tree,
)

_BRACE: Final = b'{'


def check(body: bytes, out: TextIO) -> int:
    """Report whether processes would accept a settings tree.

    Text that starts with a brace is checked as the settings file that the
    platform writes for a process.
    """
    if body.lstrip().startswith(_BRACE):
        return _check_settings_file(body, out)
    match parse_snapshot(1, body):
        case Err(problem):
            out.write(f'rejected: {problem}\n')
            return ExitCode.REJECTED
        case Ok(snapshot):
            services = len(snapshot.services)
            upstreams = len(snapshot.upstreams)
            out.write(f'accepted: {services} services, ')
            out.write(f'{upstreams} upstreams, {len(body)} bytes\n')
            return ExitCode.DONE


def _check_settings_file(body: bytes, out: TextIO) -> int:
    match parse_settings(body):
        case Err(problem):
            out.write(f'rejected: {problem}\n')
            return ExitCode.REJECTED
        case Ok(settings):
            upstream_side = settings.upstream_side
            role = (
                f'agent of {upstream_side.service}'
                if upstream_side
                else 'entry'
            )
            out.write(f'accepted: {settings.name}, {role}, ')
            out.write(f'store at {settings.store[0]}:{settings.store[1]}\n')
            return ExitCode.DONE


def explain(body: bytes, upstream: str, out: TextIO) -> int:
    """Show the levels an upstream inherits from and its effective policy."""
    match parse_tree(body):
        case Err(problem):
            out.write(f'rejected: {problem}\n')
            return ExitCode.REJECTED
        case Ok(tree):
            return _explain_upstream(tree, upstream, out)


def _explain_upstream(tree: SettingsTree, upstream: str, out: TextIO) -> int:
    if ('upstream', upstream) not in tree.levels:
        out.write(f'rejected: no section [upstream {upstream}]\n')
        return ExitCode.REJECTED
    chain = tree.inheritance_chain(upstream)
    for level in chain:
        _explain_level(level, out)
    out.write('in force\n')
    for key, setting in asdict(effective_policy(chain)).items():
        out.write(f'  {key} = {setting}\n')
    return ExitCode.DONE


def _explain_level(level: SettingsLevel, out: TextIO) -> None:
    out.write(f'[{level.section.name}] line {level.section.location.line}\n')
    for key, entry in level.section.entries.items():
        out.write(f'  {key} = {entry.text} (line {entry.location.line})\n')
