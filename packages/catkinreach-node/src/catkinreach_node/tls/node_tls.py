"""All TLS contexts of a node and the task that reloads them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from .contexts import CertificateError, ReloadableContext

if TYPE_CHECKING:
    import ssl

    from catkinreach_core.settings.node import NodeSettings

CHECK_INTERVAL_S = 5.0


class NodeTls:
    """TLS of the callers', operators' and peers' addresses."""

    def __init__(
        self,
        *,
        callers: ReloadableContext | None,
        operators: ReloadableContext | None,
        peer_server: ReloadableContext | None,
        peer_client: ReloadableContext | None,
    ) -> None:
        """Keeps the contexts; ``None`` stands for plain TCP."""
        self._callers = callers
        self._operators = operators
        self._peer_server = peer_server
        self._peer_client = peer_client

    @property
    def callers(self) -> ssl.SSLContext | None:
        """Returns the context of the callers' address."""
        return _context_of(self._callers)

    @property
    def operators(self) -> ssl.SSLContext | None:
        """Returns the context of the operators' address."""
        return _context_of(self._operators)

    @property
    def peer_server(self) -> ssl.SSLContext | None:
        """Returns the context of the peers' address."""
        return _context_of(self._peer_server)

    @property
    def peer_client(self) -> ssl.SSLContext | None:
        """Returns the context of connections to peers."""
        return _context_of(self._peer_client)

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> NodeTls:
        """Loads every context that the settings name.

        Raises:
            CertificateError: if a file can't be used.
        """
        return cls(
            callers=ReloadableContext.for_server(settings.caller_tls),
            operators=ReloadableContext.for_server(settings.operator_tls),
            peer_server=ReloadableContext.for_server(settings.peer_tls),
            peer_client=ReloadableContext.for_peer_client(settings.peer_tls),
        )

    async def run(self) -> None:
        """Reloads changed files until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.reload_changed()

    def reload_changed(self) -> None:
        """Reloads changed files; a faulty one leaves the old in force."""
        for loaded in (
            self._callers,
            self._operators,
            self._peer_server,
            self._peer_client,
        ):
            try:
                if loaded is not None and loaded.reload_if_changed():
                    logger.info('tls: certificates reloaded.')
            except CertificateError as error:
                logger.error('tls: reload refused: {}.', error.detail)


def _context_of(loaded: ReloadableContext | None) -> ssl.SSLContext | None:
    return None if loaded is None else loaded.context


__all__ = ('NodeTls',)
