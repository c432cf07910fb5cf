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
ASK_SECONDS: Final = 5.0
# The pages that a node answers.
NODE_PAGES: Final = ('status', 'metrics', 'audit', 'flow', 'upstream')


def add_ask_command(commands: 'Commands') -> None:
    """Add the command line of :func:`ask_node`."""
    asking = commands.add_parser(
        'ask',
        help="show a page of a node: the operators' port answers",
    )
    asking.add_argument('address', help='host:port of the node')
    asking.add_argument('page', choices=NODE_PAGES)
    asking.add_argument('--id', default='', help='a flow or an upstream')


def ask_node(address: str, page: str, ident: str = '') -> int:
    """Print a page of a process: metrics, status, audit, flow, upstream.

    ``address`` is the address of its operators' port, as ``host:port``.
    """
    query = f'?{urlencode({"id": ident})}' if ident else ''
    connection = HTTPConnection(address, timeout=ASK_SECONDS)
    try:
        connection.request('GET', f'/{page}{query}')
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
