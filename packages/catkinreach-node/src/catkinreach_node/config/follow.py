"""Tasks that follow the configuration service by long polls."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.fleet_list import VmEntry, VmList
from catkinreach_core.ids import Revision
from catkinreach_core.settings import load_fleet

from ..http.client import ConnectError, ExchangeError

if TYPE_CHECKING:
    from catkinreach_core.settings.node import Address

    from ..http.client import HttpClient
    from .state import FleetState

WATCH_S = 20
RETRY_S = 0.5
_HTTP_OK = 200


class PublishedConfig(msgspec.Struct, frozen=True):
    """Answer of the configuration service to a read of the text."""

    revision: Revision
    text: str


class PublishedVms(msgspec.Struct, frozen=True):
    """Answer of the configuration service to a read of the VM list."""

    revision: Revision
    vms: tuple[VmEntry, ...]


class Resource(Enum):
    """What the configuration service publishes."""

    CONFIG = 'config'
    VMS = 'vms'


class Follower:
    """Follows one published resource."""

    def __init__(
        self,
        resource: Resource,
        service: Address,
        client: HttpClient,
        state: FleetState,
    ) -> None:
        """Sets up the follower; ``run`` is its task."""
        self._resource = resource
        self._service = service
        self._client = client
        self._state = state
        self._after = 0
        self._is_reachable = False

    @property
    def is_reachable(self) -> bool:
        """Tells whether the last read was answered."""
        return self._is_reachable

    async def run(self) -> None:
        """Watches the resource until cancelled."""
        while True:
            try:
                await self._watch()
                self._is_reachable = True
            except (ConnectError, ExchangeError, TimeoutError) as error:
                if self._is_reachable:
                    logger.warning('config: service lost: {}.', error)
                self._is_reachable = False
                await asyncio.sleep(RETRY_S)

    async def _watch(self) -> None:
        wait_s = WATCH_S if self._after else 0
        target = (
            f'/v1/{self._resource.value}?after={self._after}&wait_s={wait_s}'
        )
        async with asyncio.timeout(WATCH_S + 5):
            status, body = await self._client.call_json(
                self._service, 'GET', target
            )
        if status == _HTTP_OK:
            self._accept(body)

    def _accept(self, body: bytes) -> None:
        try:
            if self._resource is Resource.CONFIG:
                self._accept_config(
                    msgspec.json.decode(body, type=PublishedConfig)
                )
            else:
                self._accept_vms(msgspec.json.decode(body, type=PublishedVms))
        except msgspec.MsgspecError as error:
            logger.warning('config: malformed answer: {}.', error)

    def _accept_config(self, published: PublishedConfig) -> None:
        self._after = published.revision
        try:
            settings = load_fleet(
                published.text, revision=published.revision, source='fleet'
            )
        except CatkinreachError as error:
            logger.error(
                'config: revision {} refused: {}',
                published.revision,
                error.detail,
            )
            return
        if self._state.accept_settings(settings, published.text):
            logger.info('config: revision {} in force.', published.revision)

    def _accept_vms(self, published: PublishedVms) -> None:
        self._after = published.revision
        vms = VmList(revision=published.revision, vms=published.vms)
        if self._state.accept_vms(vms):
            logger.info('config: VM list {} in force.', published.revision)


__all__ = ('Follower', 'Resource')
