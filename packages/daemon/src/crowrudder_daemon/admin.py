"""The admin endpoints: health, readiness, metrics, status, audit, explain."""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec
from attrs import define, field, frozen
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, HTTPError, RequestHandler

from crowrudder_model import CrowrudderError

if TYPE_CHECKING:
    from types import TracebackType

    from crowrudder_daemon._audit import AuditTrail
    from crowrudder_daemon.metrics import Metrics
    from crowrudder_model import Member

JSON_TYPE = 'application/json; charset=utf-8'
METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
# No admin endpoint reads a body.
MAX_BODY_BYTES = 4096
# Python refuses to parse a number of more than 4300 digits.
_NUMBER = re.compile('[0-9]{1,18}')


@frozen(kw_only=True)
class AdminView:
    """Data sources of the endpoints; each is read for each request.

    `explain` raises `NotImplementedError` in a role that doesn't route.
    `on_fault` is called with exceptions of the callables; the process goes on.
    """

    status: Callable[[], dict[str, Any]]
    readiness: Callable[[], list[str]]
    explain: Callable[[str, str], dict[str, Any]]
    metrics: Metrics
    audit: AuditTrail
    members: Callable[[], tuple[Member, ...]]
    bundle: Callable[[], bytes]
    on_fault: Callable[[str, BaseException | None], None]


class UnknownNameError(CrowrudderError):
    """The requested customer or model is not declared in any file."""


class _AdminHandler(RequestHandler):
    def initialize(self, view: AdminView) -> None:
        self.view = view

    def reply(self, body: object, status: int = HTTPStatus.OK) -> None:
        self.set_status(status)
        self.set_header('Content-Type', JSON_TYPE)
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        _, exc, _ = kwargs.get('exc_info', (None, None, None))
        known = isinstance(exc, HTTPError) and exc.log_message
        message = known or HTTPStatus(status_code).phrase
        self.reply(
            {'error': {'code': status_code, 'message': message}},
            status_code,
        )

    def log_exception(
        self,
        typ: type[BaseException] | None,
        value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        if not isinstance(value, HTTPError):
            self.view.on_fault(f'admin {self.request.path}', value)


class HealthHandler(_AdminHandler):
    """Responds while the event loop runs, whatever the state of the role."""

    def get(self) -> None:
        self.reply({'status': 'ok'})


class ReadyHandler(_AdminHandler):
    """Reports whether the process can serve, and if not, why."""

    def get(self) -> None:
        reasons = self.view.readiness()
        status = HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK
        self.reply({'ready': not reasons, 'reasons': reasons}, status)


class MetricsHandler(_AdminHandler):
    """Returns the metrics in the Prometheus text format."""

    def get(self) -> None:
        self.set_header('Content-Type', METRICS_TYPE)
        self.finish(self.view.metrics.render())


class StatusHandler(_AdminHandler):
    """Returns the state of the process and its role."""

    def get(self) -> None:
        self.reply(self.view.status())


class MembersHandler(_AdminHandler):
    """Lists the members that this process knows."""

    def get(self) -> None:
        self.reply({'revision': 0, 'members': self.view.members()})


class BundleHandler(_AdminHandler):
    """Returns the bundle in force, byte for byte as published."""

    def get(self) -> None:
        payload = self.view.bundle()
        if not payload:
            raise HTTPError(HTTPStatus.NOT_FOUND, 'no bundle in force yet')
        self.set_header('Content-Type', JSON_TYPE)
        self.finish(payload)


class AuditHandler(_AdminHandler):
    """Lists the audit events after a given sequence number."""

    def get(self) -> None:
        trail = self.view.audit
        events = trail.after(self._after())
        self.reply({'events': events, 'last': trail.last})

    def _after(self) -> int:
        text = self.get_argument('after', '0')
        if not _NUMBER.fullmatch(text):
            raise HTTPError(
                HTTPStatus.BAD_REQUEST, 'after: a whole number from 0'
            )
        return int(text)


class ExplainHandler(_AdminHandler):
    """Explains where a customer's request for a model would go."""

    def get(self) -> None:
        customer, model = self._needed('customer'), self._needed('model')
        try:
            explained = self.view.explain(customer, model)
        except NotImplementedError as exc:
            raise HTTPError(
                HTTPStatus.NOT_FOUND, 'this role does not route: ask an entry'
            ) from exc
        except UnknownNameError as exc:
            raise HTTPError(HTTPStatus.NOT_FOUND, str(exc)) from exc
        self.reply(explained)

    def _needed(self, name: str) -> str:
        text = self.get_argument(name, '')
        if not text:
            raise HTTPError(HTTPStatus.BAD_REQUEST, f'{name}: required')
        return text


class _AbsentHandler(_AdminHandler):
    def prepare(self) -> None:
        raise HTTPError(HTTPStatus.NOT_FOUND, 'no such admin address')


def admin_application(view: AdminView) -> Application:
    """Build the application of the admin port."""
    handlers: tuple[tuple[str, type[_AdminHandler]], ...] = (
        ('/healthz', HealthHandler),
        ('/readyz', ReadyHandler),
        ('/metrics', MetricsHandler),
        ('/status', StatusHandler),
        ('/audit', AuditHandler),
        ('/members', MembersHandler),
        ('/bundle', BundleHandler),
        ('/explain', ExplainHandler),
    )
    return Application(
        [(path, handler, {'view': view}) for path, handler in handlers],
        default_handler_class=_AbsentHandler,
        default_handler_args={'view': view},
    )


@define
class AdminServer:
    """Owns the sockets of the admin port."""

    view: AdminView
    _server: HTTPServer | None = field(default=None, init=False)

    def listen(self, address: str, port: int) -> int:
        """Open the port; 0 selects a free one.

        Returns
        -------
        int
            The port.
        """
        sockets = bind_sockets(port, address)
        self._server = HTTPServer(
            admin_application(self.view),
            max_body_size=MAX_BODY_BYTES,
        )
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close the port and its connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
