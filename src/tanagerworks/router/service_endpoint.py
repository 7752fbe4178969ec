"""``/services/NAME/...`` and ``POST /v1/tickets`` of the caller port."""

import json
import re

from tanagerworks.errors import (
    BadPathError,
    NotFoundError,
    PermissionDeniedError,
    RequestError,
    TicketUnknownError,
)
from tanagerworks.note.model import Customer, Service
from tanagerworks.router.http_rules import (
    FORWARDED_HEADER,
    IDEMPOTENCY_KEY,
    is_repeatable,
    passed_request_headers,
    split_target,
)
from tanagerworks.router.services import ServiceAnswer, ServiceCall, ServiceCaller
from tanagerworks.router.ticket_desk import TicketDesk, TicketForwarder, check_binding
from tanagerworks.router.view import RouterView, ViewSource
from tanagerworks.routing.tickets import read_ticket, request_digest
from tanagerworks.wsgi import Environ, Response, json_response, read_body

PREFIX = "/services/"
_FORWARD_MARGIN_S = 2.0
_SHA256_HEX = re.compile(r"[0-9a-f]{64}\Z")
_FORWARDED_KEY = "HTTP_" + FORWARDED_HEADER.upper().replace("-", "_")


class ServiceEndpoint:
    """Serves plain services and their tickets."""

    def __init__(
        self, link: ViewSource, caller: ServiceCaller, desk: TicketDesk, forwarder: TicketForwarder
    ) -> None:
        self.link = link
        self.caller = caller
        self.desk = desk
        self.forwarder = forwarder

    def issue(self, environ: Environ, request_id: str) -> Response:
        """Answers ``POST /v1/tickets``: ``{"service": NAME, "request_sha256": HEX or absent}``."""
        view = self.link.view
        customer_name, customer = self._customer(environ, view)
        try:
            document = json.loads(read_body(environ))
        except (ValueError, RecursionError) as error:
            raise RequestError("the body is not valid JSON") from error
        if not isinstance(document, dict) or not isinstance(document.get("service"), str):
            raise RequestError("the body needs the name of a service")
        digest = document.get("request_sha256") or ""
        if not isinstance(digest, str) or (digest and not _SHA256_HEX.match(digest)):
            raise RequestError("request_sha256 must be 64 hex digits in lower case")
        service_name = document["service"]
        service = _service(view, customer, service_name)
        if service.deduplicates_by_key:
            raise RequestError("the service takes any Idempotency-Key; it needs no ticket")
        ticket = self.desk.issue(customer_name, service_name, digest)
        return json_response(
            {"ticket": ticket, "service": service_name, "expires_in_s": self.desk.lifetime_s},
            201,
            [("X-Request-Id", request_id), ("Cache-Control", "no-store")],
        )

    def serve(self, environ: Environ, request_id: str, forwarded: bool = False) -> Response:
        """Answers a call to a plain service.

        `forwarded` says that it came to the port for other router processes.
        """
        path, _ = split_target(environ["REQUEST_URI"])
        name, slash, rest = path.removeprefix(PREFIX).partition("/")
        if not environ["REQUEST_URI"].startswith(PREFIX + name):
            raise BadPathError("the name of the service must not be encoded")
        view = self.link.view
        customer_name, customer = self._customer(environ, view)
        service = _service(view, customer, name)
        raw_target = environ["REQUEST_URI"][len(PREFIX) + len(name) :]
        if not raw_target.startswith("/"):
            raw_target = f"/{raw_target}"
        method = environ["REQUEST_METHOD"]
        body = read_body(environ)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        headers = passed_request_headers(environ)
        headers["X-Request-Id"] = request_id
        if key and service.deduplicates_by_key:
            headers[IDEMPOTENCY_KEY] = key
        call = ServiceCall(
            request_id=request_id,
            service_name=name,
            method=method,
            target=raw_target,
            headers=headers,
            body=body,
            repeatable=is_repeatable(service, method, f"{slash}{rest}" or "/"),
            trust_refusal=service.trust_refusal,
            timeout_s=service.timeout_s,
        )
        if key and not service.deduplicates_by_key:
            answer = self._under_ticket(environ, view, key, customer_name, service, call, forwarded)
        elif forwarded:
            raise RequestError("a forwarded call needs a ticket")
        else:
            answer = self._call(call)
        return answer.response(request_id)

    def _call(self, call: ServiceCall) -> ServiceAnswer:
        view = self.link.fresh_view()
        return self.caller.call(call, view.service_servers(call.service_name))

    def _under_ticket(
        self,
        environ: Environ,
        view: RouterView,
        key: str,
        customer_name: str,
        service: Service,
        call: ServiceCall,
        forwarded: bool,
    ) -> ServiceAnswer:
        ticket = read_ticket(key)
        check_binding(ticket, customer_name, call.service_name)
        if forwarded and environ.get(_FORWARDED_KEY) != self.desk.instance_id:
            raise TicketUnknownError("the router process that issued the ticket is gone")
        if ticket.instance_id != self.desk.instance_id:
            if forwarded:
                raise TicketUnknownError("the router process that issued the ticket is gone")
            headers = dict(call.headers)
            headers["Authorization"] = environ.get("HTTP_AUTHORIZATION", "")
            return self.forwarder.forward(
                key,
                view,
                call.method,
                environ["REQUEST_URI"],
                headers,
                call.body,
                # The issuer may first wait for a call that runs, then run this one.
                2 * service.timeout_s + _FORWARD_MARGIN_S,
            )
        digest = request_digest(call.method, call.target, call.body)
        # One server at most, and never a second attempt, whatever the route says: the ticket
        # stands for one execution.
        once = ServiceCall(**{**vars(call), "repeatable": False})
        return self.desk.run(
            key,
            customer_name,
            call.service_name,
            digest,
            lambda: self._call(once),
            service.timeout_s,
        )

    def _customer(self, environ: Environ, view: RouterView) -> tuple[str, Customer]:
        return view.require_index().authenticate_customer(environ.get("HTTP_AUTHORIZATION", ""))


def _service(view: RouterView, customer: Customer, name: str) -> Service:
    service = view.require_index().note.statement.services.get(name)
    if service is None:
        raise NotFoundError("no such service")
    if name not in customer.services:
        raise PermissionDeniedError("the customer may not use this service")
    return service
