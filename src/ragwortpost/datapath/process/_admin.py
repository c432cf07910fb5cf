"""Admin endpoints for operators: metrics, status, audit trail, flows."""

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Final, TypeAlias
from urllib.parse import parse_qs, urlsplit

from ragwortpost.datapath.connection import parse_flow
from ragwortpost.datapath.process._http_server import HttpReply
from ragwortpost.datapath.process._metrics import MEDIA_TYPE
from ragwortpost.datapath.process._node_context import NodeContext

_JSON: Final = 'application/json'

Fields: TypeAlias = Mapping[str, object]


@dataclass(frozen=True)
class AdminSources:
    """Callbacks that supply the role-specific parts of replies."""

    # Current gauge readings, by name.
    gauges: Callable[[], Mapping[str, float]]
    # Returns the state of a flow, as fields of a reply.
    explain_flow: Callable[[bytes], Fields]


class Admin:
    """Serves the admin endpoints of one process."""

    def __init__(self, context: NodeContext, sources: AdminSources) -> None:
        """Initialize with the process's context and the callbacks."""
        self._context = context
        self._sources = sources

    def answer(self, target: str) -> HttpReply:
        """Return the reply to a request target (path and query)."""
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        ident = query.get('id', [''])[0]
        match parts.path:
            case '/metrics':
                metrics = self._context.metrics
                text = metrics.render(self._sources.gauges())
                return HttpReply(HTTPStatus.OK, text, MEDIA_TYPE)
            case '/status':
                return _reply(self._describe_status())
            case '/audit':
                return _reply({'events': self._context.log.audit_trail})
            case '/flow':
                return self._describe_flow(ident)
            case '/upstream':
                return self._describe_upstream(ident)
        return _error(HTTPStatus.NOT_FOUND, f'no such endpoint: {parts.path}')

    def _describe_status(self) -> Fields:
        settings = self._context.settings
        return {
            'name': settings.name,
            'data_centre': settings.data_centre,
            **self._sources.gauges(),
            'events': dict(self._context.metrics.events),
            'layouts': self._context.layouts.describe(
                self._context.clock.monotonic()
            ),
            'unreadable': self._context.unreadable.describe(),
        }

    def _describe_flow(self, text: str) -> HttpReply:
        flow = parse_flow(text)
        if flow is None:
            cause = 'malformed flow: expected caller:port-service:port'
            return _error(HTTPStatus.BAD_REQUEST, cause)
        state = self._context.state
        return _reply(
            {
                'flow': text,
                'service': state.fleet.service_of(flow),
                'era': state.era,
                'revision': state.revision,
                'view_age': round(state.age, 3),
                **self._sources.explain_flow(flow),
            }
        )

    def _describe_upstream(self, ident: str) -> HttpReply:
        state = self._context.state
        for record in state.records:
            document = record.document
            if document is None or getattr(document, 'ident', None) != ident:
                continue
            return _reply(
                {
                    **asdict(document),
                    'changed_era': record.version.era,
                    'changed': record.version.revision,
                    'era': state.era,
                    'revision': state.revision,
                    'view_age': round(state.age, 3),
                    'warm_up_now': state.warm_up_left(ident),
                }
            )
        return _error(HTTPStatus.NOT_FOUND, f'no such upstream: {ident!r}')


def _reply(fields: Fields) -> HttpReply:
    return HttpReply(HTTPStatus.OK, json.dumps(fields, indent=1), _JSON)


def _error(status: HTTPStatus, cause: str) -> HttpReply:
    return HttpReply(status, json.dumps({'error': cause}), _JSON)
