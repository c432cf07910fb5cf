"""Counts the messages of one process, their bytes and their processor time.

Two readings of the processor time cost most of a microsecond. One message of
each kind in :data:`SAMPLE_INTERVAL` is therefore timed, and stands for all of
that number.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import thread_time
from types import MappingProxyType
from typing import Final

from ragwortpost._datagrams import HostPort, ReceiveDatagram, SendDatagram
from ragwortpost.datapath.process._messages import ForwardPurpose

# Messages of one kind of which one is timed.
SAMPLE_INTERVAL: Final = 8
PAYLOAD: Final = 'payload'
OPENING: Final = 'opening'
LOOKUP: Final = 'lookup'
REPLY: Final = 'reply'
REGISTRATION: Final = 'registration'
DEMAND: Final = 'demand'
GRANT: Final = 'grant'
CHANGES: Final = 'changes'
DIGEST: Final = 'digest'
# Datagrams that are not messages of this build.
UNREADABLE: Final = 'unreadable'
# Work of the periodic tick, which handles no message.
TICK: Final = 'tick'
KINDS: Final = (
    PAYLOAD,
    OPENING,
    LOOKUP,
    REPLY,
    REGISTRATION,
    DEMAND,
    GRANT,
    CHANGES,
    DIGEST,
    UNREADABLE,
)
# First byte of a forwarded packet; its kind depends on the second byte.
FORWARD_NUMBER: Final = 1
KINDS_BY_PURPOSE: Final = MappingProxyType(
    {
        ForwardPurpose.NEW_FLOW: OPENING,
        ForwardPurpose.KNOWN_FLOW: PAYLOAD,
        ForwardPurpose.LOOKUP: LOOKUP,
        ForwardPurpose.RELAYABLE_LOOKUP: LOOKUP,
    }
)
# Kinds by the first byte of a message, those of earlier builds included.
KINDS_BY_NUMBER: Final = MappingProxyType(
    {
        5: REGISTRATION,
        6: LOOKUP,
        8: REPLY,
        9: DIGEST,
        10: REPLY,
        11: CHANGES,
        12: DIGEST,
        13: REPLY,
        19: CHANGES,
        15: LOOKUP,
        16: REPLY,
        17: DEMAND,
        18: GRANT,
        20: DIGEST,
    }
)


@dataclass(slots=True)
class Tally:
    """Messages of one kind and direction."""

    messages: int = 0
    # Bytes of the datagrams, without the headers of lower layers.
    size: int = 0
    # Estimated processor time of the handlers.
    seconds: float = 0

    def count(self, size: int) -> None:
        """Count a message."""
        self.messages += 1
        self.size += size


class Tallies:
    """Tallies of one direction, by kind."""

    def __init__(self) -> None:
        """Initialize with zeros."""
        self.by_kind: Final = {kind: Tally() for kind in KINDS}
        self._unreadable = self.by_kind[UNREADABLE]
        self._by_number = {
            number: self.by_kind[kind]
            for number, kind in KINDS_BY_NUMBER.items()
        }
        self._by_purpose = {
            int(purpose): self.by_kind[kind]
            for purpose, kind in KINDS_BY_PURPOSE.items()
        }

    def find(self, datagram: bytes) -> Tally:
        """Return the tally of a message between processes."""
        if len(datagram) < 2:
            return self._unreadable
        number = datagram[0]
        if number == FORWARD_NUMBER:
            return self._by_purpose.get(datagram[1], self._unreadable)
        return self._by_number.get(number, self._unreadable)


class MessageMeter:
    """Wraps the functions that send and receive datagrams with counters."""

    def __init__(self, timer: Callable[[], float] = thread_time) -> None:
        """Initialize with zeros; ``timer`` returns processor seconds."""
        self._timer = timer
        self._ticks = Tally()
        self.received: Final = Tallies()
        # Counts only datagrams that the socket accepted.
        self.sent: Final = Tallies()
        # Number of datagrams that a socket refused.
        self.refused = 0

    def receiver(self, receive: ReceiveDatagram) -> ReceiveDatagram:
        """Return a counting receiver of messages between processes."""
        find = self.received.find

        def receive_message(  # noqa: WPS430
            datagram: bytes, sender: HostPort
        ) -> None:
            self._dispatch(find(datagram), receive, datagram, sender)

        return receive_message

    def packet_receiver(self, receive: ReceiveDatagram) -> ReceiveDatagram:
        """Return a counting receiver of callers' or upstreams' packets."""
        payload = self.received.by_kind[PAYLOAD]

        def receive_packet(  # noqa: WPS430
            datagram: bytes, sender: HostPort
        ) -> None:
            self._dispatch(payload, receive, datagram, sender)

        return receive_packet

    def sender(self, send: SendDatagram) -> SendDatagram:
        """Return a counting sender of messages between processes."""
        find = self.sent.find

        def send_message(  # noqa: WPS430
            datagram: bytes, receiver: HostPort
        ) -> bool:
            accepted = send(datagram, receiver)
            if accepted:
                find(datagram).count(len(datagram))
            else:
                self.refused += 1
            return accepted

        return send_message

    def packet_sender(self, send: SendDatagram) -> SendDatagram:
        """Return a counting sender of packets to callers or upstreams."""
        payload = self.sent.by_kind[PAYLOAD]

        def send_packet(  # noqa: WPS430
            datagram: bytes, receiver: HostPort
        ) -> bool:
            accepted = send(datagram, receiver)
            if accepted:
                payload.count(len(datagram))
            else:
                self.refused += 1
            return accepted

        return send_packet

    def time_tick(self, tick: Callable[[], None]) -> None:
        """Call ``tick`` and count its processor time."""
        started = self._timer()
        tick()
        self._ticks.seconds += self._timer() - started

    def render(self, prefix: str) -> Iterator[str]:
        """Yield the counters' lines in the OpenMetrics text format."""
        yield from self._render_counts(f'{prefix}_messages', 'messages')
        yield from self._render_counts(f'{prefix}_message_bytes', 'size')
        name = f'{prefix}_handler_seconds'
        yield f'# TYPE {name} counter'
        timed = {**self.received.by_kind, TICK: self._ticks}
        for kind, tally in timed.items():
            yield f'{name}_total{{kind="{kind}"}} {tally.seconds:.6f}'

    def _render_counts(self, name: str, field: str) -> Iterator[str]:
        yield f'# TYPE {name} counter'
        directions = (('in', self.received), ('out', self.sent))
        for direction, tallies in directions:
            for kind, tally in tallies.by_kind.items():
                labels = f'kind="{kind}",direction="{direction}"'
                yield f'{name}_total{{{labels}}} {getattr(tally, field)}'

    def _dispatch(
        self,
        tally: Tally,
        receive: ReceiveDatagram,
        datagram: bytes,
        sender: HostPort,
    ) -> None:
        """Count a received datagram, and time its handler if it is sampled."""
        tally.messages += 1
        tally.size += len(datagram)
        if tally.messages % SAMPLE_INTERVAL:
            receive(datagram, sender)
            return
        started = self._timer()
        receive(datagram, sender)
        tally.seconds += (self._timer() - started) * SAMPLE_INTERVAL
