"""The proxy process: its links and their control address."""

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
    """Carries every link and takes faults under ``/standin/``."""

    def __init__(self, plans: Sequence[LinkPlan], *, seed: int) -> None:
        """Plans the links; nothing listens yet."""
        self._seed = seed
        self._links = {plan.name: self._new_link(plan) for plan in plans}
        self._host = ''
        self._server = HttpServer(self._route)

    @property
    def port(self) -> int:
        """Port of the control address."""
        return self._server.port

    async def start(self, host: str, port: int) -> None:
        """Listens on every link and on the control address."""
        self._host = host
        for link in self._links.values():
            await link.start(host)
        await self._server.start(host, port)

    async def close(self) -> None:
        """Stops listening."""
        for link in self._links.values():
            link.close()
        await self._server.close()

    def _new_link(self, plan: LinkPlan) -> Link:
        return Link(plan, random.Random(f'{self._seed}/{plan.name}'))

    async def _route(self, request: Request) -> Response:
        try:
            return await self._control(request)
        except msgspec.MsgspecError as error:
            return error_response(HTTPStatus.BAD_REQUEST, str(error))
        except KeyError as error:
            return error_response(HTTPStatus.NOT_FOUND, f'no link {error}')

    async def _control(self, request: Request) -> Response:
        match request.method, request.path:
            case 'PUT', '/standin/links':
                await self._put_link(request.body)
            case 'PUT', '/standin/faults':
                order = msgspec.json.decode(request.body, type=SetFaultsRequest)
                self._links[order.link].set_faults(order.source, order.faults)
            case 'POST', '/standin/act':
                act = msgspec.json.decode(
                    request.body, type=OneTimeFaultRequest
                )
                self._links[act.link].inject_once(act.act, act.source)
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
        """Adds a link, or replaces the one of the same name."""
        plan = msgspec.json.decode(body, type=LinkPlan)
        old = self._links.pop(plan.name, None)
        if old is not None:
            old.close()
        link = self._new_link(plan)
        await link.start(self._host)
        self._links[plan.name] = link


__all__ = ('FaultProxy',)
