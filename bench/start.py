"""Measures the processor time of what a process imports until it serves.

Run with ``make bench-start``. Prints the least time of several interpreters for
each role, beside that of asyncio alone: what is above it is the program's own.
"""

import os
import subprocess
import sys
from typing import Final

ROUNDS: Final = 12
_PACKAGE: Final = 'ragwortpost.datapath.process'
# The launcher disables the collector and the import of ssl in the same way.
_LAUNCHED: Final = (
    "import gc, sys; gc.disable(); sys.modules['ssl'] = None; "
    'import ragwortpost.cli._platform_command; '
)
STATEMENTS: Final = {
    'asyncio': 'import asyncio',
    'entry': f'{_LAUNCHED}import {_PACKAGE}._entry_role',
    'agent': f'{_LAUNCHED}import {_PACKAGE}._agent_role',
}
_MS: Final = 1000


def processor_ms(statement: str) -> float:
    """Return the processor time of an interpreter that runs a statement."""
    running = subprocess.Popen((sys.executable, '-c', statement))
    _, status, usage = os.wait4(running.pid, 0)
    if status:
        raise RuntimeError(f'status {status}: {statement}')
    running.returncode = 0
    return (usage.ru_utime + usage.ru_stime) * _MS


def main() -> None:
    """Print the least time of each statement."""
    least = dict.fromkeys(STATEMENTS, float('inf'))
    # Interleaved, so that other work on the machine affects all alike.
    for _ in range(ROUNDS):
        for name, statement in STATEMENTS.items():
            least[name] = min(least[name], processor_ms(statement))
    for measured, milliseconds in least.items():
        ratio = milliseconds / least['asyncio']
        sys.stdout.write(
            f'{measured:8} {milliseconds:6.1f} ms, {ratio:.2f} of asyncio\n'
        )


if __name__ == '__main__':
    main()
