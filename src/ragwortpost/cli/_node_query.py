"""Asks a process on the platform for its state, over plain HTTP."""

import sys
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Final, TypeAlias
from urllib.parse import urlencode

from ragwortpost.cli._exit_codes import ExitCode

if TYPE_CHECKING:
    from argparse import ArgumentParser, _SubParsersAction  # noqa: WPS450

    Commands: TypeAlias = _SubParsersAction[ArgumentParser]

# Seconds for the process to answer.
QUERY_TIMEOUT_SECONDS: Final = 5.0
# The pages that a node answers.
NODE_ENDPOINTS: Final = ('status', 'metrics', 'audit', 'flow', 'upstream')


def add_ask_command(commands: 'Commands') -> None:
    """Add the command line of :func:`query_node`."""
    ask_parser = commands.add_parser(
        'ask',
        help="show a page of a node: the operators' port answers",
    )
    ask_parser.add_argument('address', help='host:port of the node')
    ask_parser.add_argument('endpoint', choices=NODE_ENDPOINTS)
    ask_parser.add_argument('--id', default='', help='a flow or an upstream')


def query_node(address: str, endpoint: str, ident: str = '') -> int:
    """Print a page of a process: metrics, status, audit, flow, upstream.

    ``address`` is the address of its operators' port, as ``host:port``.
    """
    query = f'?{urlencode({"id": ident})}' if ident else ''
    connection = HTTPConnection(address, timeout=QUERY_TIMEOUT_SECONDS)
    try:
        connection.request('GET', f'/{endpoint}{query}')
        response = connection.getresponse()
        body = response.read().decode()
    except (OSError, HTTPException) as error:
        sys.stderr.write(f'ragwortpost: {address}: {error}\n')
        return ExitCode.NO_ANSWER
    finally:
        connection.close()
    sys.stdout.write(f'{body.rstrip()}\n')
    if response.status == HTTPStatus.OK:
        return ExitCode.DONE
    return ExitCode.REJECTED
