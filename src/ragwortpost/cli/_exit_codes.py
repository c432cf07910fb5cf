"""Exit codes of the program."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The outcome of a command, as listed in the program's help text."""

    DONE = 0
    REJECTED = 1
    USAGE = 2
    UNREADABLE = 3
    NO_ANSWER = 4
