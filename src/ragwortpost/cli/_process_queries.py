"""Queries a process of the QUIC data path: status, metrics, audit trail."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Final

from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok

from ragwortpost.cli._exit_codes import ExitCode
from ragwortpost.process import PeerChannels, ProcessSettings, SealedCodec
from ragwortpost.version import parse_address
from ragwortpost.wire.peer_grpc import AdminStub
from ragwortpost.wire.peer_pb2 import (
    AuditRequest,
    StatusReply,
    StatusRequest,
)

# Timeout of the whole query.
QUERY_TIMEOUT_SECONDS: Final = 5.0

PrintQuery = Callable[[AdminStub], Awaitable[None]]


async def query_status(settings: ProcessSettings, target: str | None) -> int:
    """Print the status of a process, one field per line."""
    return await _query(settings, target, _print_status)


async def query_metrics(settings: ProcessSettings, target: str | None) -> int:
    """Print the metrics of a process, one per line."""
    return await _query(settings, target, _print_metrics)


async def query_audit(settings: ProcessSettings, target: str | None) -> int:
    """Print the audit trail of a process, one entry per line."""
    return await _query(settings, target, _print_audit)


async def _query(
    settings: ProcessSettings,
    target: str | None,
    query: PrintQuery,
) -> int:
    match parse_address(target or str(settings.address)):
        case Err(problem):
            sys.stderr.write(
                f'ragwortpost: --target: expected {problem.expected}\n'
            )
            return ExitCode.USAGE
        case Ok(address):
            async with AsyncExitStack() as stack:
                channels = PeerChannels(SealedCodec(settings.key))
                await stack.enter_async_context(channels)
                stub = AdminStub(channels.channel(address))
                return await _query_stub(stub, query)


async def _query_stub(stub: AdminStub, query: PrintQuery) -> int:
    try:
        async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
            await query(stub)
    except (GRPCError, StreamTerminatedError, OSError) as error:
        sys.stderr.write(f'ragwortpost: no answer: {error!r}\n')
        return ExitCode.NO_ANSWER
    return ExitCode.DONE


async def _print_status(stub: AdminStub) -> None:
    _print_fields(await stub.Status(StatusRequest()))


async def _print_metrics(stub: AdminStub) -> None:
    _print_fields(await stub.Metrics(StatusRequest()))


def _print_fields(reply: StatusReply) -> None:
    for field in reply.fields:
        sys.stdout.write(f'{field.name} = {field.value}\n')


async def _print_audit(stub: AdminStub) -> None:
    reply = await stub.Audit(AuditRequest())
    for entry in reply.entries:
        sys.stdout.write(
            f'{entry.time} {entry.document} version={entry.version} '
            + f'{entry.outcome} from={entry.source} {entry.detail}\n',
        )
    if reply.dropped:
        sys.stdout.write(f'{reply.dropped} older entries were dropped\n')
