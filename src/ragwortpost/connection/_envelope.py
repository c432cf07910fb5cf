"""The header that carries a datagram between entry and agent.

A forward envelope tells an agent who the caller is and which entry takes the
answers; a reply envelope tells an entry to which caller, and from which
service's address, it sends the payload on. A keyed tag over the header proves
that a process of the system wrote it; the payload is protected by QUIC itself.
"""

import hashlib
import struct
from dataclasses import dataclass, replace
from socket import inet_aton, inet_ntoa
from typing import Final

from ragwortpost._datagrams import HostPort
from ragwortpost.version import ShortId

MAX_HOPS: Final = 3
_WIRE_FORMAT: Final = 1
_KIND_FORWARD: Final = 1
_KIND_REPLY: Final = 2
_TAG_BYTES: Final = 8
_FORWARD_LAYOUT: Final = struct.Struct('!BBB4sH4sH6s6sQ')
_REPLY_LAYOUT: Final = struct.Struct('!BB4sH6s6s')


@dataclass(frozen=True, slots=True)
class ForwardHeader:
    """A caller's datagram on its way to an agent."""

    # Agents that passed the datagram on so far.
    hops: int
    # The caller's address and port.
    caller: HostPort
    # Where the entry takes reply envelopes.
    entry: HostPort
    # The service on whose address the datagram arrived.
    service: ShortId
    # The upstream that the datagram is meant for.
    upstream: ShortId
    # The settings version by which the entry chose.
    version: int


@dataclass(frozen=True, slots=True)
class ReplyHeader:
    """An agent's datagram on its way to a caller."""

    # The caller's address and port.
    caller: HostPort
    # The service from whose address the datagram is sent.
    service: ShortId
    # The upstream whose agent wrote it.
    upstream: ShortId


class EnvelopeCodec:
    """Seals and opens envelopes under one key."""

    def __init__(self, key: bytes) -> None:
        """Prepare the keyed hash; ``key`` has at most 64 bytes."""
        self._keyed_hash = hashlib.blake2b(
            key=key,
            digest_size=_TAG_BYTES,
            person=b'envelope',
        )

    def seal_forward(self, header: ForwardHeader, payload: bytes) -> bytes:
        """Return the datagram that carries ``payload`` to an agent."""
        packed = _FORWARD_LAYOUT.pack(
            _WIRE_FORMAT,
            _KIND_FORWARD,
            header.hops,
            inet_aton(header.caller[0]),
            header.caller[1],
            inet_aton(header.entry[0]),
            header.entry[1],
            header.service,
            header.upstream,
            header.version,
        )
        return packed + self._tag(packed) + payload

    def seal_reply(self, header: ReplyHeader, payload: bytes) -> bytes:
        """Return the datagram that carries ``payload`` to an entry.

        An empty payload only tells the entry that the agent is alive.
        """
        packed = _REPLY_LAYOUT.pack(
            _WIRE_FORMAT,
            _KIND_REPLY,
            inet_aton(header.caller[0]),
            header.caller[1],
            header.service,
            header.upstream,
        )
        return packed + self._tag(packed) + payload

    def open_forward(
        self, datagram: bytes
    ) -> tuple[ForwardHeader, bytes] | None:
        """Return header and payload, or none if forged or malformed."""
        packed = self._verified_header(datagram, _FORWARD_LAYOUT.size)
        if packed is None:
            return None
        fields = _FORWARD_LAYOUT.unpack(packed)
        if fields[:2] != (_WIRE_FORMAT, _KIND_FORWARD):
            return None
        header = ForwardHeader(
            fields[2],
            (inet_ntoa(fields[3]), fields[4]),
            (inet_ntoa(fields[5]), fields[6]),
            *fields[7:],
        )
        return header, datagram[_FORWARD_LAYOUT.size + _TAG_BYTES :]

    def open_reply(self, datagram: bytes) -> tuple[ReplyHeader, bytes] | None:
        """Return header and payload, or none if forged or malformed."""
        packed = self._verified_header(datagram, _REPLY_LAYOUT.size)
        if packed is None:
            return None
        fields = _REPLY_LAYOUT.unpack(packed)
        if fields[:2] != (_WIRE_FORMAT, _KIND_REPLY):
            return None
        header = ReplyHeader((inet_ntoa(fields[2]), fields[3]), *fields[4:])
        return header, datagram[_REPLY_LAYOUT.size + _TAG_BYTES :]

    def _verified_header(self, datagram: bytes, size: int) -> bytes | None:
        packed = datagram[:size]
        if len(packed) < size:
            return None
        if self._tag(packed) != datagram[size : size + _TAG_BYTES]:
            return None
        return packed

    def _tag(self, packed: bytes) -> bytes:
        keyed = self._keyed_hash.copy()
        keyed.update(packed)
        return keyed.digest()


def relayed_header(
    header: ForwardHeader, upstream: ShortId
) -> ForwardHeader | None:
    """Return the header for passing a datagram on, or none at the bound."""
    if header.hops >= MAX_HOPS:
        return None
    return replace(header, hops=header.hops + 1, upstream=upstream)
