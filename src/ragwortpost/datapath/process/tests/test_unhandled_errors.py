"""Tests of the log of exceptions that nothing has handled.

Guards against a failed callback that leaves no event and no count.
"""

import asyncio
from collections import Counter

from ragwortpost._clock import SystemClock
from ragwortpost.datapath.process._event_log import EventLog
from ragwortpost.datapath.process._unhandled_errors import (
    error_handler,
    origin_of,
)


def raise_error() -> None:
    raise KeyError('missing')


class TestUnhandledErrors:
    """Failed callbacks are counted as events."""

    def test_a_failed_callback_is_counted(self) -> None:
        events = Counter[str]()

        async def fail_in_callback() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                error_handler(EventLog(SystemClock(), events))
            )
            loop.call_soon(raise_error)
            await asyncio.sleep(0)

        asyncio.run(fail_in_callback())
        assert events['unhandled_error'] == 1

    def test_the_origin_is_the_function_that_raised(self) -> None:
        try:
            raise_error()
        except KeyError as error:
            assert origin_of(error).startswith('raise_error:')
        assert not origin_of(KeyError())
