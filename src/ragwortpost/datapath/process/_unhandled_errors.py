"""Logs exceptions that callbacks and tasks of the event loop did not handle."""

import asyncio
import traceback
from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from ragwortpost.datapath.process._event_log import EventLog

LoopErrorHandler: TypeAlias = Callable[
    [asyncio.AbstractEventLoop, Mapping[str, Any]], None
]


def origin_of(error: BaseException | None) -> str:
    """Return the function and line that raised an exception, if known."""
    frames = traceback.extract_tb(error.__traceback__) if error else []
    if not frames:
        return ''
    return f'{frames[-1].name}:{frames[-1].lineno}'


def error_handler(log: EventLog) -> LoopErrorHandler:
    """Return an exception handler of an event loop that writes to a log."""

    def handle_error(  # noqa: WPS430
        _: asyncio.AbstractEventLoop, context: Mapping[str, Any]
    ) -> None:
        error = context.get('exception')
        log.write(
            'unhandled_error',
            message=context['message'],
            why=repr(error),
            at=origin_of(error),
        )

    return handle_error
