"""The operators' HTTP endpoint: health, readiness, metrics and state dump.

Health and readiness are for load balancers and need no key; everything else
needs one of the operators' keys. A role may add routes of its own.
"""

import base64
import hmac
import json
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from beryllug.core import settings_data
from beryllug.drivers import http_data, http_server
from beryllug.kernel import registry

if TYPE_CHECKING:
    from beryllug.kernel import metrics

OK = 200
UNAUTHORIZED = 401
NOT_FOUND = 404
UNAVAILABLE = 503
JSON = MappingProxyType({'content-type': http_server.JSON_TYPE})
BASIC_CHALLENGE = MappingProxyType(
    {'www-authenticate': 'Basic realm="beryllug"'}
)
PROMETHEUS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
PROMETHEUS = MappingProxyType({'content-type': PROMETHEUS_TYPE})
HEALTH = '/healthz'
READINESS = '/readyz'
DUMP = '/dump'
METRICS = '/metrics'


class Credentials(NamedTuple):
    """The sender of a request: a user name, if given, and a key."""

    user: str
    key: str


class Route(NamedTuple):
    """A method and the path it is served under."""

    method: str
    path: str


Routes = Mapping[Route, http_server.Handler]
ReadinessCheck = Callable[[], bool]
Answer = Callable[[http_data.Request], Awaitable[Any]]


class Operators:
    """Service 'operators', used by either role."""

    def __init__(
        self,
        cfg: settings_data.Operators,
        services: registry.Registry,
        is_ready: ReadinessCheck,
        routes: Routes,
        *,
        are_metrics_open: bool = False,
    ) -> None:
        """Create the service; `start` opens its socket.

        Args:
            cfg: Address and keys.
            services: The services whose state is dumped.
            is_ready: Returns whether the process should get new work.
            routes: Additional routes; each needs an operator's key.
            are_metrics_open: Whether metrics are served without a key, for a
                platform that scrapes them by itself.
        """
        self._cfg = cfg
        self._services = services
        self._is_ready = is_ready
        self._routes = dict(routes)
        self._metrics: metrics.Metrics | None = None
        self._are_metrics_open = are_metrics_open
        self._server = http_server.HttpServer(self._serve)
        self.port = 0

    async def start(self) -> None:
        """Start listening on the configured address."""
        host, _, port = self._cfg.listen.rpartition(':')
        self.port = await self._server.start(host, int(port))

    async def stop(self, grace_s: float) -> None:
        """Close the listening socket and release the metrics."""
        await self._server.stop()
        if self._metrics is not None:
            self._metrics.stop()

    def replace_keys(self, keys: tuple[str, ...]) -> None:
        """Replace the operators' keys, as when settings are reloaded."""
        self._cfg = self._cfg._replace(keys=keys)

    def dump(self) -> dict[str, Any]:
        """Return the configured address."""
        return {'listen': self._cfg.listen}

    async def _serve(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        path = req.target.partition('?')[0]
        if path == HEALTH:
            await exchange.respond(OK, b'ok\n')
        elif path == READINESS:
            ready = self._is_ready()
            await exchange.respond(OK if ready else UNAVAILABLE)
        elif path == METRICS and self._are_metrics_open:
            await exchange.respond(OK, self._render(), PROMETHEUS)
        elif self._is_operator(req):
            await self._serve_operator(req, path, exchange)
        else:
            await exchange.respond_json(
                UNAUTHORIZED,
                {'error': 'send a valid operator key'},
                BASIC_CHALLENGE,
            )

    async def _serve_operator(
        self,
        req: http_data.Request,
        path: str,
        exchange: http_server.Exchange,
    ) -> None:
        if path == DUMP:
            text = json.dumps(self._services.dump(), default=str)
            await exchange.respond(OK, text.encode(), JSON)
        elif path == METRICS:
            await exchange.respond(OK, self._render(), PROMETHEUS)
        else:
            await self._dispatch(req, path, exchange)

    def _render(self) -> bytes:
        """Return all metrics; the first call loads the library."""
        if self._metrics is None:
            from beryllug.kernel import metrics  # noqa: WPS433

            self._metrics = metrics.Metrics(self._services)
        return self._metrics.render()

    async def _dispatch(
        self,
        req: http_data.Request,
        path: str,
        exchange: http_server.Exchange,
    ) -> None:
        handler = self._routes.get(Route(req.method, path))
        if handler is None:
            await exchange.respond_json(NOT_FOUND, {'error': 'no such path'})
        else:
            await handler(req, exchange)

    def _is_operator(self, req: http_data.Request) -> bool:
        """Compare the key with every valid one in constant time."""
        key = credentials(req).key.encode()
        matches = [
            hmac.compare_digest(key, valid.encode()) for valid in self._cfg.keys
        ]
        return any(matches)


def credentials(req: http_data.Request) -> Credentials:
    """Return the credentials of a request; empty if it has none.

    Tools send the key as a bearer token. A browser asks its user for a name
    and a password, which is the key, and sends both.
    """
    scheme, _, sent = req.headers.get('authorization', '').partition(' ')
    match scheme.lower():
        case 'bearer':
            return Credentials('', sent.strip())
        case 'basic':
            return _parse_basic(sent)
    return Credentials('', '')


def _parse_basic(sent: str) -> Credentials:
    try:
        text = base64.b64decode(sent, validate=True).decode()
    except ValueError:
        return Credentials('', '')
    user, _, key = text.partition(':')
    return Credentials(user, key)
