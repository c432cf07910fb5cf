"""Parses the command line and runs one command."""

import argparse
import asyncio
import sys
from collections.abc import Sequence
from logging import getLogger
from pathlib import Path
from typing import Final

from absl import logging
from absl.flags import FLAGS
from result import Err, Ok

from ragwortpost.cli._exit_codes import ExitCode
from ragwortpost.cli._launcher import NODE_COMMAND
from ragwortpost.cli._node_query import add_ask_command, query_node
from ragwortpost.cli._platform_command import run_on_platform
from ragwortpost.cli._process_queries import (
    query_audit,
    query_metrics,
    query_status,
)
from ragwortpost.cli._settings_commands import check, explain
from ragwortpost.process import (
    ProcessSettings,
    parse_process_settings,
    run_process,
)
from ragwortpost.version import Role

_EPILOG: Final = """examples:
  ragwortpost entry --config entry-1.ini
  ragwortpost agent --config agent.ini
  ragwortpost node
  ragwortpost ask 10.1.0.10:7721 status
  ragwortpost ask 10.1.0.10:7721 flow --id 100.64.0.7:40001-198.18.0.1:443
  ragwortpost check tree.ini
  ragwortpost explain tree.ini badge-desk/hall-north/1
  ragwortpost status --config agent.ini
  ragwortpost audit --config agent.ini --target 10.0.0.7:7001

exit codes:
  0  done
  1  the settings or the query were rejected
  2  the command line is wrong
  3  a file could not be read or an address not bound
  4  the process did not answer
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='ragwortpost',
        description='A layer-4 load balancer: daemons and operator commands.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--verbose', action='store_true', help='log debug messages'
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for role in Role:
        daemon_parser = commands.add_parser(
            role.value, help=f'run an {role.value}'
        )
        daemon_parser.add_argument('--config', type=Path, required=True)
    commands.add_parser(
        NODE_COMMAND,
        help="run the role that the platform's settings file specifies",
    )
    add_ask_command(commands)
    check_parser = commands.add_parser('check', help='check a settings tree')
    check_parser.add_argument('tree', type=Path)
    explain_parser = commands.add_parser(
        'explain',
        help='show what an upstream inherits and overrides',
    )
    explain_parser.add_argument('tree', type=Path)
    explain_parser.add_argument('upstream')
    for name, summary in (
        ('status', 'show the state of a running process'),
        ('metrics', 'show the metrics of a running process'),
        ('audit', 'show the changes a process applied or rejected'),
    ):
        query_parser = commands.add_parser(name, help=summary)
        query_parser.add_argument('--config', type=Path, required=True)
        query_parser.add_argument(
            '--target',
            help='address of the process; default: the address in --config',
        )
    return parser


def run_command(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args(arguments)
    FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if options.verbose else logging.INFO)
    logging.set_stderrthreshold(logging.DEBUG)
    for library in ('transitions', 'quic', 'http3'):
        getLogger(library).setLevel('WARNING')
    try:
        return _run_command(options)
    except OSError as error:
        sys.stderr.write(f'ragwortpost: {error}\n')
        return ExitCode.UNREADABLE


def _run_command(options: argparse.Namespace) -> int:
    match options.command:
        case 'node':
            return run_on_platform()
        case 'ask':
            return query_node(options.address, options.endpoint, options.id)
        case 'check':
            return check(options.tree.read_bytes(), sys.stdout)
        case 'explain':
            body = options.tree.read_bytes()
            return explain(body, options.upstream, sys.stdout)
        case _:
            return _load_settings_and_run(options)


def _load_settings_and_run(options: argparse.Namespace) -> int:
    match parse_process_settings(options.config.read_bytes()):
        case Err(problem):
            sys.stderr.write(f'ragwortpost: {options.config}: {problem}\n')
            return ExitCode.REJECTED
        case Ok(settings):
            return _run_with_settings(settings, options)


def _run_with_settings(
    settings: ProcessSettings, options: argparse.Namespace
) -> int:
    match options.command:
        case 'status':
            return asyncio.run(query_status(settings, options.target))
        case 'metrics':
            return asyncio.run(query_metrics(settings, options.target))
        case 'audit':
            return asyncio.run(query_audit(settings, options.target))
    if settings.role.value != options.command:
        sys.stderr.write(
            f'ragwortpost: {options.config}: the settings are for the role '
            f'{settings.role.value}, not {options.command}\n'
        )
        return ExitCode.REJECTED
    asyncio.run(run_process(settings))
    return ExitCode.DONE
