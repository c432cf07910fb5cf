"""Entry point of the program; for ``node``, imports only what it needs.

A process on the platform is unavailable while it starts, so its command must
not import the libraries of the other commands.
"""

import gc
import sys
from collections.abc import Sequence
from typing import Any, Final

NODE_COMMAND: Final = 'node'
# An entry of ``sys.modules`` that makes the import of a module fail.
_NO_MODULE: Final[Any] = None


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    argv = sys.argv[1:] if arguments is None else arguments
    if tuple(argv) == (NODE_COMMAND,):
        return _run_node()
    from ragwortpost.cli._command_line import (  # noqa: PLC0415, WPS433
        run_command,
    )

    return run_command(argv)


def _run_node() -> int:
    """Import and run the node."""
    # Few of the objects that imports create are garbage, and the collector
    # would examine all of them several times. It runs once the node serves.
    gc.disable()
    # asyncio runs without it, and no connection of a node uses TLS.
    sys.modules.setdefault('ssl', _NO_MODULE)
    from ragwortpost.cli._platform_command import (  # noqa: PLC0415, WPS433
        run_on_platform,
    )

    return run_on_platform()
