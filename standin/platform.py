"""Stand-in for the platform's read-only service, for the QUIC data path.

It serves ``/v1/settings`` and ``/v1/vms`` with long polling and counts calls.
Its fault modes are ``down`` (calls fail with status 503) and ``stale``
(publications are ignored). The endpoints under ``/control`` are for tests and
not part of the protocol.
"""

import argparse
import asyncio
import json
from dataclasses import dataclass, field

from aiohttp import web


@dataclass
class PublishedDocument:
    """The current version of a document."""

    version: int = 0
    body: bytes = b''
    # Set when another version replaces this one or the mode ``down`` is
    # switched, to end waiting calls.
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Platform:
    """Published documents, fault modes and the HTTP endpoints."""

    def __init__(self) -> None:
        """Initialize with empty documents."""
        self.documents = {
            'settings': PublishedDocument(),
            'vms': PublishedDocument(),
        }
        self.calls = 0
        self.down = False
        self.stale = False

    def publish(self, name: str, version: int, body: bytes) -> None:
        """Replace a document and notify its watchers."""
        document = self.documents[name]
        self.documents[name] = PublishedDocument(version, body)
        document.changed.set()

    def application(self) -> web.Application:
        """Return the service as an aiohttp application."""
        application = web.Application(client_max_size=4194304)
        application.router.add_get('/v1/{name}', self._get_document)
        application.router.add_put(
            '/control/{name}/{version}', self._put_document
        )
        application.router.add_post('/control/{mode}/{flag}', self._set_mode)
        application.router.add_get('/control/calls', self._get_calls)
        return application

    async def _get_document(self, request: web.Request) -> web.Response:
        self.calls += 1
        name = request.match_info['name']
        if self.down or name not in self.documents:
            return web.Response(status=503)
        known_version = request.headers.get('If-None-Match', '').strip('"')
        wait_seconds = request.headers.get('Prefer', '').removeprefix('wait=')
        document = self.documents[name]
        if wait_seconds.isdigit() and known_version == str(document.version):
            await self._wait_for_change(document, int(wait_seconds))
            document = self.documents[name]
        if self.down:
            return web.Response(status=503)
        if known_version == str(document.version):
            return web.Response(status=304)
        headers = {'ETag': f'"{document.version}"'}
        return web.Response(body=document.body, headers=headers)

    async def _wait_for_change(
        self, document: PublishedDocument, seconds: int
    ) -> None:
        try:
            async with asyncio.timeout(seconds):
                await document.changed.wait()
        except TimeoutError:
            return

    async def _put_document(self, request: web.Request) -> web.Response:
        version = int(request.match_info['version'])
        body = await request.read()
        if not self.stale:
            self.publish(request.match_info['name'], version, body)
        return web.Response()

    async def _set_mode(self, request: web.Request) -> web.Response:
        flag = request.match_info['flag'] == 'on'
        match request.match_info['mode']:
            case 'down':
                self.down = flag
                for document in self.documents.values():
                    document.changed.set()
            case 'stale':
                self.stale = flag
        return web.Response()

    async def _get_calls(self, _: web.Request) -> web.Response:
        return web.Response(text=json.dumps(self.calls))


async def serve(host: str, port: int) -> None:
    """Serve until cancelled."""
    runner = web.AppRunner(Platform().application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port, shutdown_timeout=0.1).start()
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    options = parser.parse_args()
    asyncio.run(serve(options.host, options.port))


if __name__ == '__main__':
    main()
