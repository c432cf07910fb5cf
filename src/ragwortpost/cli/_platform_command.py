"""Runs a node: a process of the packet-level data path on the platform."""

import asyncio
import os
import sys
from contextlib import ExitStack

from result import Err, Ok

from ragwortpost.cli._exit_codes import ExitCode
from ragwortpost.datapath.process import NodeSettings, PlatformPorts, run_node
from ragwortpost.platform import (
    SETTINGS_VARIABLE,
    PlatformPacketFormat,
    PlatformStore,
    SettingsFile,
    UnreadableSettingsError,
    answer_readiness,
)


def run_on_platform() -> int:
    """Run the process that the platform's settings file describes."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    source = SettingsFile(path)
    match source.load():
        case Err(UnreadableSettingsError() as problem):
            sys.stderr.write(f'ragwortpost: {path}: {problem}\n')
            return ExitCode.UNREADABLE
        case Err(problem):
            sys.stderr.write(f'ragwortpost: {path}: {problem}\n')
            return ExitCode.REJECTED
        case Ok(settings):
            asyncio.run(_run(settings, source))
            return ExitCode.DONE


async def _run(settings: NodeSettings, source: SettingsFile) -> None:
    with ExitStack() as stack:
        store = PlatformStore(settings.store)
        stack.callback(store.close)
        ports = PlatformPorts(
            PlatformPacketFormat(),
            store,
            answer_readiness,
            source,
        )
        await run_node(settings, ports)
