"""Naive policies that replace those of the system, for comparison.

Entries route every packet by a hash of the caller's address over their own
upstream list. Agents admit every request, without slots or a ramp. A request is
retried after any failure, without a record of its key, so it may run twice. The
last version read is applied, even if it is older. A resumed process does not
resynchronize.
"""

import asyncio
from typing import Any

import pytest
from result import Err, Ok, Result

from ragwortpost.connection import (
    Drop,
    DropReason,
    RoutingDecision,
    RoutingTable,
    ToUpstream,
    read_header,
)
from ragwortpost.process import _agent, _entry
from ragwortpost.process._datagram_dispatcher import DatagramDispatcher
from ragwortpost.request import (
    Dispatcher,
    Ramp,
    Refused,
    Request,
    RequestOutcome,
    Slots,
    Unknown,
)
from ragwortpost.version import Service, VersionStore


class NaiveRoutingTable(RoutingTable):
    """Routes packets by the caller's address only."""

    def route_from(self, service: Service, caller: str) -> RoutingDecision:
        """Return the first upstream in the order of the caller's address."""
        upstream = self._upstream_orders[service.name].first(caller.encode())
        if upstream is None:
            return Drop(DropReason.NO_UPSTREAM)
        return ToUpstream(upstream)


def _naive_receive(
    entry: Any, service: Service, datagram: bytes, caller: Any
) -> None:
    match NaiveRoutingTable.route_from(entry._table, service, str(caller)):
        case ToUpstream() as decision:
            entry._forward(service, decision, datagram, caller)


def _naive_receive_sealed(dispatcher: Any, sealed: bytes, _: Any) -> None:
    header, datagram = dispatcher._envelopes.open_forward(sealed)
    packet = read_header(datagram)
    connection = dispatcher._connections.find(packet.destination)
    if connection is not None:
        connection.entry = header.entry
        connection.receive(datagram, header.caller)
    elif packet.is_long:
        dispatcher._receive_first(header, datagram, packet.destination)


async def _naive_acquire(slots: Slots, deadline: float) -> Result[None, Any]:
    slots._occupy()
    return Ok(None)


async def _naive_dispatch(
    dispatcher: Dispatcher, request: Request
) -> RequestOutcome:
    outcome = await dispatcher._router.route(request)
    while isinstance(outcome, Refused | Unknown) and not request.handed_off:
        outcome = await dispatcher._router.route(request)
        await asyncio.sleep(0.05)
        if dispatcher._clock.monotonic() > request.deadline:
            break
    return outcome


def _naive_submit(
    store: VersionStore[Any], version: int, body: bytes, source: str
) -> Any:
    if (version, body) == (store.current.version, store.current.body):
        return Ok(store.current)
    match store._parse(version, body):
        case Ok(document):
            store._apply(document, source)
            return Ok(document)
        case Err() as error:
            return error


def use_naive_policies(patch: pytest.MonkeyPatch) -> None:
    """Replace the policies of the system during one test."""
    patch.setattr(_entry, 'RoutingTable', NaiveRoutingTable)
    patch.setattr(_entry.Entry, '_receive', _naive_receive)
    patch.setattr(DatagramDispatcher, 'receive', _naive_receive_sealed)
    patch.setattr(_agent.Agent, '_has_capacity', lambda _: True)
    patch.setattr(_agent.Agent, 'accepts_work', property(lambda _: True))
    patch.setattr(Slots, 'acquire', _naive_acquire)
    patch.setattr(Slots, 'free', property(lambda _: 1))
    patch.setattr(Ramp, 'share', lambda _self, _policy: 1.0)
    patch.setattr(Dispatcher, 'dispatch', _naive_dispatch)
    patch.setattr(
        'ragwortpost.request._request_router._may_retry_elsewhere',
        lambda _, outcome: isinstance(outcome, Refused | Unknown),
    )
    patch.setattr(VersionStore, 'submit', _naive_submit)
    patch.setattr(
        'ragwortpost.process._suspension.SuspensionDetector.is_resynced',
        lambda _: True,
    )
