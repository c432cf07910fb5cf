"""Entry point of the program; for ``node``, imports only what it needs.

A process on the platform is unavailable while it starts, so its command must
not import the libraries of the other commands.
"""

import sys
from collections.abc import Sequence
from typing import Final

NODE_COMMAND: Final = 'node'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    argv = sys.argv[1:] if arguments is None else arguments
    if tuple(argv) == (NODE_COMMAND,):
        from ragwortpost.cli._platform_command import (  # noqa: PLC0415, WPS433
            run_on_platform,
        )

        return run_on_platform()
    from ragwortpost.cli._command_line import (  # noqa: PLC0415, WPS433
        run_command,
    )

    return run_command(argv)
