"""The gRPC calls between processes: client and service."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import (
    AsyncExitStack,
    aclosing,
    asynccontextmanager,
    suppress,
)
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Final

from grpclib.client import Stream as ClientStream
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from ragwortpost._clock import Clock
from ragwortpost.process._connection_transfers import AdoptOutcome
from ragwortpost.process._peer_channels import PeerChannels
from ragwortpost.process._version_gossip import VersionGossip
from ragwortpost.request import (
    Answered,
    Dispatcher,
    IncompleteResponseError,
    PeerSelector,
    RefusalReason,
    Refused,
    Request,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from ragwortpost.version import Upstream
from ragwortpost.wire.peer_grpc import PeerBase, PeerStub
from ragwortpost.wire.peer_pb2 import (
    Adopted,
    ExchangeReply,
    ExchangeRequest,
    Head,
    Header,
    Load,
    MovedFlow,
    Refusal,
    ServeReply,
    ServeRequest,
)
from ragwortpost.wire.peer_pb2 import Unknown as UnknownMessage

# Timeout of connecting to a peer.
CONNECT_SECONDS: Final = 0.5
# Timeout of a call of ``Adopt``. A reply that arrives later ends the
# connection, and callers wait far longer for data.
ADOPT_SECONDS: Final = 2.0
_MS_PER_SECOND: Final = 1000
_CONNECTION_ERRORS: Final = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    EOFError,
)


class PeerClient:
    """Calls the gRPC services of other agents."""

    def __init__(
        self,
        clock: Clock,
        channels: PeerChannels,
        selector: PeerSelector,
    ) -> None:
        """Initialize with the channels and the record of peers' free slots."""
        self._clock = clock
        self._channels = channels
        self._selector = selector

    async def serve(self, peer: Upstream, request: Request) -> RequestOutcome:
        """Send a request to a peer that runs it at its own upstream."""
        return await self._call(peer, request, to_owner=False)

    async def send_to_owner(
        self, owner: Upstream, request: Request
    ) -> RequestOutcome:
        """Send a keyed request to the agent that owns the key."""
        match await self._call(owner, request, to_owner=True):
            case Refused(RefusalReason.PEER_UNREACHABLE):
                return Unknown(
                    UnknownReason.OWNER_UNREACHABLE,
                    timedelta(seconds=1),
                )
            case outcome:
                return outcome

    async def adopt(self, peer: Upstream, state: MovedFlow) -> AdoptOutcome:
        """Send a connection's state to a peer, which may continue it."""
        if not await self._connect(peer):
            return AdoptOutcome.REFUSED
        stub = PeerStub(self._channels.channel(peer.address))
        try:
            async with asyncio.timeout(ADOPT_SECONDS):
                reply = await stub.Adopt(state)
        except _CONNECTION_ERRORS:
            return AdoptOutcome.UNKNOWN
        if reply.accepted:
            return AdoptOutcome.ACCEPTED
        return AdoptOutcome.REFUSED

    async def _connect(self, peer: Upstream) -> bool:
        """Return whether a connection to a peer is open or can be opened."""
        channel = self._channels.channel(peer.address)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await channel.__connect__()
        except (OSError, TimeoutError):
            return False
        return True

    async def _call(
        self,
        peer: Upstream,
        request: Request,
        *,
        to_owner: bool,
    ) -> RequestOutcome:
        if not await self._connect(peer):
            return Refused(RefusalReason.PEER_UNREACHABLE)
        stack = AsyncExitStack()
        try:
            return await self._send(peer, request, to_owner, stack)
        except TimeoutError:
            await stack.aclose()
            return Unknown(UnknownReason.DEADLINE)
        except _CONNECTION_ERRORS:
            await stack.aclose()
            return Unknown(UnknownReason.CONNECTION_LOST)
        except BaseException:
            await stack.aclose()
            raise

    async def _send(
        self,
        peer: Upstream,
        request: Request,
        to_owner: bool,
        stack: AsyncExitStack,
    ) -> RequestOutcome:
        stub = PeerStub(self._channels.channel(peer.address))
        limit = None if request.is_event_stream else request.deadline
        async with asyncio.timeout_at(limit):
            stream = await stack.enter_async_context(
                _ignore_disconnect(stub.Serve.open())
            )
            message = self._build_request(request, to_owner)
            await stream.send_message(message, end=True)
            first_reply = await stream.recv_message()
        if first_reply is None:
            await stack.aclose()
            return Unknown(UnknownReason.CONNECTION_LOST)
        self._selector.record_free_slots(peer.name, first_reply.free_slots)
        return await _read_outcome(first_reply, stream, stack)

    def _build_request(self, request: Request, to_owner: bool) -> ServeRequest:
        remaining = max(0, request.deadline - self._clock.monotonic())
        return ServeRequest(
            service=request.service,
            method=request.method,
            path=request.path,
            headers=[
                Header(name=name, value=text) for name, text in request.headers
            ],
            body=request.body,
            timeout_ms=int(remaining * _MS_PER_SECOND),
            to_owner=to_owner,
        )


@asynccontextmanager
async def _ignore_disconnect(
    stream: ClientStream[ServeRequest, ServeReply],
) -> AsyncGenerator[ClientStream[ServeRequest, ServeReply], None]:
    """Open a stream; reset it and ignore connection errors when closing it.

    Closed without an error, the library would wait until the peer ends the
    stream, and an event stream has no end.
    """
    await stream.__aenter__()
    try:
        yield stream
    finally:
        closing = asyncio.CancelledError()
        with suppress(*_CONNECTION_ERRORS):
            await stream.__aexit__(type(closing), closing, None)


async def _read_outcome(
    first_reply: ServeReply,
    stream: ClientStream[ServeRequest, ServeReply],
    stack: AsyncExitStack,
) -> RequestOutcome:
    match first_reply.WhichOneof('part'):
        case 'head':
            headers = [
                (header.name, header.value)
                for header in first_reply.head.headers
            ]
            chunks = _read_chunks(stream)
            return Answered(first_reply.head.status, headers, chunks, stack)
        case 'refusal':
            await stack.aclose()
            return Refused(
                RefusalReason(first_reply.refusal.reason),
                timedelta(milliseconds=first_reply.refusal.retry_after_ms),
            )
        case _:
            await stack.aclose()
            retry_after = first_reply.unknown.retry_after_ms
            return Unknown(
                UnknownReason(first_reply.unknown.reason),
                timedelta(milliseconds=retry_after) if retry_after else None,
            )


async def _read_chunks(
    stream: ClientStream[ServeRequest, ServeReply],
) -> AsyncGenerator[bytes, None]:
    try:
        message = await stream.recv_message()
        while message is not None:
            yield message.chunk
            message = await stream.recv_message()
        # A peer that lost its upstream also ends the stream normally; only the
        # status after the last message shows it.
        await stream.recv_trailing_metadata()
    except _CONNECTION_ERRORS as error:
        raise IncompleteResponseError(repr(error)) from error


@dataclass(frozen=True)
class PeerServicePorts:
    """What the peer service calls in an agent on behalf of peers."""

    # Runs requests, including non-idempotent ones whose key this agent owns.
    dispatcher: Dispatcher
    # Opens an event stream at this agent's upstream only.
    open_stream: Callable[[Request], Any]
    # Returns the free slots to report in replies.
    free_slots: Callable[[], int]
    # Takes over a connection from its state; returns whether it did.
    adopt: Callable[[MovedFlow], bool]


class PeerService(PeerBase):  # type: ignore[misc]
    """The gRPC service for other processes; an entry serves only gossip."""

    def __init__(
        self,
        clock: Clock,
        gossip: VersionGossip,
        ports: PeerServicePorts | None = None,
    ) -> None:
        """Initialize with the gossip and, for an agent, its ports."""
        self._clock = clock
        self._gossip = gossip
        self._ports = ports

    async def Exchange(  # noqa: N802
        self,
        stream: Stream[ExchangeRequest, ExchangeReply],
    ) -> None:
        """Exchange versions with a peer."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._gossip.reply_to(request))

    async def Adopt(  # noqa: N802
        self,
        stream: Stream[MovedFlow, Adopted],
    ) -> None:
        """Take over a connection that another agent exported, or refuse it."""
        state = await stream.recv_message()
        if state is None:
            return
        ports = self._ports
        accepted = ports is not None and ports.adopt(state)
        await stream.send_message(Adopted(accepted=accepted))

    async def Serve(  # noqa: N802
        self,
        stream: Stream[ServeRequest, ServeReply],
    ) -> None:
        """Run a peer's request and stream the response back."""
        message = await stream.recv_message()
        ports = self._ports
        if message is None or ports is None:
            return
        request = self._parse_request(message)
        if request.is_event_stream:
            outcome = await ports.open_stream(request)
        else:
            outcome = await ports.dispatcher.dispatch(request)
        try:
            await _write_outcome(stream, outcome, ports.free_slots)
        except IncompleteResponseError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error

    def _parse_request(self, message: ServeRequest) -> Request:
        return Request(
            service=message.service,
            method=message.method,
            path=message.path,
            headers=[(header.name, header.value) for header in message.headers],
            body=message.body,
            deadline=self._clock.monotonic()
            + message.timeout_ms / _MS_PER_SECOND,
            handed_off=not message.to_owner,
        )


async def _write_outcome(
    stream: Stream[ServeRequest, ServeReply],
    outcome: RequestOutcome,
    free_slots: Callable[[], int],
) -> None:
    match outcome:
        case Answered():
            await _write_answered(stream, outcome, free_slots)
        case Refused(reason, retry_after):
            refusal = Refusal(
                reason=reason.value,
                retry_after_ms=_to_ms(retry_after),
            )
            await stream.send_message(
                ServeReply(refusal=refusal, free_slots=free_slots()),
            )
        case Unknown(cause, delay):
            unknown = UnknownMessage(
                reason=cause.value,
                retry_after_ms=_to_ms(delay) if delay else 0,
            )
            await stream.send_message(
                ServeReply(unknown=unknown, free_slots=free_slots()),
            )


async def _write_answered(
    stream: Stream[ServeRequest, ServeReply],
    answered: Answered,
    free_slots: Callable[[], int],
) -> None:
    head = Head(
        status=answered.status,
        headers=[
            Header(name=name, value=text) for name, text in answered.headers
        ],
    )
    async with answered.stack:
        await stream.send_message(
            ServeReply(head=head, free_slots=free_slots()),
        )
        async with aclosing(answered.chunks) as chunks:
            async for chunk in chunks:
                await stream.send_message(ServeReply(chunk=chunk))


def _to_ms(retry_after: timedelta) -> int:
    return int(retry_after.total_seconds() * _MS_PER_SECOND)


def build_load(upstream: str, free: int, *, accepting: bool) -> Load:
    """Return the message that reports an upstream's free slots."""
    return Load(upstream=upstream, free_slots=free, accepting=accepting)
