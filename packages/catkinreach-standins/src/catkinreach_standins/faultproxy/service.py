"""The fault proxy: its links, and its control address that sets faults."""

from __future__ import annotations

import random
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from ..http import (
    HttpServer,
    Request,
    Response,
    error_response,
    json_response,
)
from .faults import LinkPlan, OneTimeFaultRequest, SetFaultsRequest
from .link import Link

if TYPE_CHECKING:
    from collections.abc import Sequence


class FaultProxy:
    """Runs links, and sets their faults on requests to ``/standin/``."""

    def __init__(self, plans: Sequence[LinkPlan], *, seed: int) -> None:
        """Creates the links; nothing listens yet."""
        self._seed = seed
        self._links = {plan.name: self._new_link(plan) for plan in plans}
        self._host = ''
        self._server = HttpServer(self._handle)

    @property
    def port(self) -> int:
        """Returns the port of the control address."""
        return self._server.port

    async def start(self, host: str, port: int) -> None:
        """Starts listening on all links and on the control address."""
        self._host = host
        for link in self._links.values():
            await link.start(host)
        await self._server.start(host, port)

    async def close(self) -> None:
        """Closes all links and the control address."""
        for link in self._links.values():
            link.close()
        await self._server.close()

    def _new_link(self, plan: LinkPlan) -> Link:
        return Link(plan, random.Random(f'{self._seed}/{plan.name}'))

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._execute(request)
        except msgspec.MsgspecError as error:
            return error_response(HTTPStatus.BAD_REQUEST, str(error))
        except KeyError as error:
            return error_response(
                HTTPStatus.NOT_FOUND, f'no link is named {error}'
            )

    async def _execute(self, request: Request) -> Response:
        match request.method, request.path:
            case 'PUT', '/standin/links':
                await self._put_link(request.body)
            case 'PUT', '/standin/faults':
                change = msgspec.json.decode(
                    request.body, type=SetFaultsRequest
                )
                self._links[change.link].set_faults(
                    change.source, change.faults
                )
            case 'POST', '/standin/act':
                fault = msgspec.json.decode(
                    request.body, type=OneTimeFaultRequest
                )
                self._links[fault.link].inject_once(fault.act, fault.source)
            case 'POST', '/standin/heal':
                for link in self._links.values():
                    link.heal()
            case 'GET', '/standin/record':
                return json_response(
                    {name: link.record for name, link in self._links.items()}
                )
            case _:
                return error_response(HTTPStatus.NOT_FOUND, 'not-found')
        return json_response({})

    async def _put_link(self, body: bytes) -> None:
        """Adds a link, or replaces the link of the same name."""
        plan = msgspec.json.decode(body, type=LinkPlan)
        replaced_link = self._links.pop(plan.name, None)
        if replaced_link is not None:
            replaced_link.close()
        link = self._new_link(plan)
        await link.start(self._host)
        self._links[plan.name] = link


__all__ = ('FaultProxy',)
