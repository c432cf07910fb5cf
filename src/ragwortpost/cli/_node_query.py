"""Queries a node, a process of the packet-level data path, over plain HTTP."""

import sys
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Final, TypeAlias
from urllib.parse import urlencode

from ragwortpost.cli._exit_codes import ExitCode

if TYPE_CHECKING:
    from argparse import ArgumentParser, _SubParsersAction  # noqa: WPS450

    Commands: TypeAlias = _SubParsersAction[ArgumentParser]

# Timeout of each operation on the socket, not of the whole query.
QUERY_TIMEOUT_SECONDS: Final = 5.0
# The endpoints of a node's admin port.
NODE_ENDPOINTS: Final = ('status', 'metrics', 'audit', 'flow', 'upstream')


def add_ask_command(commands: 'Commands') -> None:
    """Add the parser of the ``ask`` command, which runs :func:`query_node`."""
    ask_parser = commands.add_parser(
        'ask',
        help='query an endpoint of the admin port of a node',
    )
    ask_parser.add_argument('address', help='host:port of the node')
    ask_parser.add_argument('endpoint', choices=NODE_ENDPOINTS)
    ask_parser.add_argument('--id', default='', help='id of a flow or upstream')


def query_node(address: str, endpoint: str, identifier: str = '') -> int:
    """Print the response of an endpoint of a node.

    ``address`` is the ``host:port`` of its admin port, ``endpoint`` one of
    :data:`NODE_ENDPOINTS` and ``identifier`` the id of a flow or upstream.
    """
    url_query = f'?{urlencode({"id": identifier})}' if identifier else ''
    connection = HTTPConnection(address, timeout=QUERY_TIMEOUT_SECONDS)
    try:
        connection.request('GET', f'/{endpoint}{url_query}')
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
