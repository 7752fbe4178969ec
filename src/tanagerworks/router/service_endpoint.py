"""Endpoints for callers of plain services: ``/services/NAME/...`` and ``POST /v1/tickets``."""

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
    IDEMPOTENCY_KEY,
    INSTANCE_HEADER,
    is_repeatable,
    relayed_request_headers,
    split_target,
)
from tanagerworks.router.service_calls import ServiceCall, ServiceCaller, ServiceResponse
from tanagerworks.router.ticket_service import TicketForwarder, TicketService, check_ticket_binding
from tanagerworks.router.view import RouterView, ViewSource
from tanagerworks.routing.tickets import read_ticket, request_digest
from tanagerworks.wsgi import Environ, Response, json_response, read_body

SERVICES_PREFIX = "/services/"
_FORWARD_MARGIN_S = 2.0
_SHA256_HEX = re.compile(r"[0-9a-f]{64}\Z")
_INSTANCE_ENVIRON_KEY = "HTTP_" + INSTANCE_HEADER.upper().replace("-", "_")


class ServiceEndpoint:
    """Serves calls to plain services and issues their tickets."""

    def __init__(
        self,
        link: ViewSource,
        service_caller: ServiceCaller,
        tickets: TicketService,
        forwarder: TicketForwarder,
    ) -> None:
        self.link = link
        self.service_caller = service_caller
        self.tickets = tickets
        self.forwarder = forwarder

    def issue_ticket(self, environ: Environ, request_id: str) -> Response:
        """Serves ``POST /v1/tickets``; the body is ``{"service": NAME, "request_sha256": HEX}``.

        ``request_sha256`` is optional.

        Raises:
            AuthenticationError, PermissionDeniedError: the customer may not use the service.
            NotFoundError: there is no such service.
            RequestError: the body is not valid, or the service needs no ticket.
        """
        view = self.link.view
        customer_name, customer = self._authenticate(environ, view)
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
        service = _permitted_service(view, customer, service_name)
        if service.deduplicates_by_key:
            raise RequestError("the service takes any Idempotency-Key; it needs no ticket")
        ticket = self.tickets.issue_ticket(customer_name, service_name, digest)
        return json_response(
            {"ticket": ticket, "service": service_name, "expires_in_s": self.tickets.lifetime_s},
            201,
            [("X-Request-Id", request_id), ("Cache-Control", "no-store")],
        )

    def serve_call(self, environ: Environ, request_id: str, forwarded: bool = False) -> Response:
        """Serves a call to a plain service.

        `forwarded` states that the call arrived on the port for other router processes.

        Raises:
            TanagerError: there is no complete response; the outcome states what is known.
        """
        path, _ = split_target(environ["REQUEST_URI"])
        service_name, slash, service_path = path.removeprefix(SERVICES_PREFIX).partition("/")
        if not environ["REQUEST_URI"].startswith(SERVICES_PREFIX + service_name):
            raise BadPathError("the name of the service must not be encoded")
        view = self.link.view
        customer_name, customer = self._authenticate(environ, view)
        service = _permitted_service(view, customer, service_name)
        raw_target = environ["REQUEST_URI"][len(SERVICES_PREFIX) + len(service_name) :]
        if not raw_target.startswith("/"):
            raw_target = f"/{raw_target}"
        method = environ["REQUEST_METHOD"]
        body = read_body(environ)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        headers = relayed_request_headers(environ)
        headers["X-Request-Id"] = request_id
        if key and service.deduplicates_by_key:
            headers[IDEMPOTENCY_KEY] = key
        call = ServiceCall(
            request_id=request_id,
            service_name=service_name,
            method=method,
            target=raw_target,
            headers=headers,
            body=body,
            repeatable=is_repeatable(service, method, f"{slash}{service_path}" or "/"),
            trust_refusal=service.trust_refusal,
            timeout_s=service.timeout_s,
        )
        if key and not service.deduplicates_by_key:
            response = self._run_with_ticket(
                environ, view, key, customer_name, service, call, forwarded
            )
        elif forwarded:
            raise RequestError("a forwarded call needs a ticket")
        else:
            response = self._send_call(call)
        return response.to_caller_response(request_id)

    def _send_call(self, call: ServiceCall) -> ServiceResponse:
        view = self.link.fresh_view()
        return self.service_caller.call(call, view.service_servers(call.service_name))

    def _run_with_ticket(
        self,
        environ: Environ,
        view: RouterView,
        key: str,
        customer_name: str,
        service: Service,
        call: ServiceCall,
        forwarded: bool,
    ) -> ServiceResponse:
        ticket = read_ticket(key)
        check_ticket_binding(ticket, customer_name, call.service_name)
        if forwarded and environ.get(_INSTANCE_ENVIRON_KEY) != self.tickets.instance_id:
            raise TicketUnknownError("the router process that issued the ticket has ended")
        if ticket.instance_id != self.tickets.instance_id:
            if forwarded:
                raise TicketUnknownError("the router process that issued the ticket has ended")
            headers = dict(call.headers)
            headers["Authorization"] = environ.get("HTTP_AUTHORIZATION", "")
            return self.forwarder.forward_call(
                key,
                view,
                call.method,
                environ["REQUEST_URI"],
                headers,
                call.body,
                # The issuer may wait for a running call first and then run this one.
                2 * service.timeout_s + _FORWARD_MARGIN_S,
            )
        digest = request_digest(call.method, call.target, call.body)
        # A ticket allows one execution, so there is only one attempt, whatever the route states.
        single_attempt = ServiceCall(**{**vars(call), "repeatable": False})
        return self.tickets.run_call(
            key,
            customer_name,
            call.service_name,
            digest,
            lambda: self._send_call(single_attempt),
            service.timeout_s,
        )

    def _authenticate(self, environ: Environ, view: RouterView) -> tuple[str, Customer]:
        return view.require_index().authenticate_customer(environ.get("HTTP_AUTHORIZATION", ""))


def _permitted_service(view: RouterView, customer: Customer, service_name: str) -> Service:
    service = view.require_index().note.statement.services.get(service_name)
    if service is None:
        raise NotFoundError("no such service")
    if service_name not in customer.services:
        raise PermissionDeniedError("the customer may not use this service")
    return service
