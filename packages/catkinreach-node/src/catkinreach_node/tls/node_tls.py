"""The TLS contexts of a node and their periodic reload."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from .contexts import CertificateError, ReloadableContext

if TYPE_CHECKING:
    import ssl

    from catkinreach_core.settings.node import NodeSettings

RELOAD_INTERVAL_S = 5.0


class NodeTls:
    """TLS contexts for callers, operators and peers."""

    def __init__(
        self,
        *,
        callers: ReloadableContext | None,
        operators: ReloadableContext | None,
        peer_server: ReloadableContext | None,
        peer_client: ReloadableContext | None,
    ) -> None:
        """Takes the contexts; ``None`` means plain TCP."""
        self._callers = callers
        self._operators = operators
        self._peer_server = peer_server
        self._peer_client = peer_client

    @property
    def callers(self) -> ssl.SSLContext | None:
        """Returns the server context of the callers' address."""
        return _context_of(self._callers)

    @property
    def operators(self) -> ssl.SSLContext | None:
        """Returns the server context of the operators' address."""
        return _context_of(self._operators)

    @property
    def peer_server(self) -> ssl.SSLContext | None:
        """Returns the server context of the peers' address."""
        return _context_of(self._peer_server)

    @property
    def peer_client(self) -> ssl.SSLContext | None:
        """Returns the client context for connections to peers."""
        return _context_of(self._peer_client)

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> NodeTls:
        """Loads the contexts that the settings configure.

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
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self.reload_changed()

    def reload_changed(self) -> None:
        """Reloads changed files; after an error the context is unchanged."""
        for reloadable in (
            self._callers,
            self._operators,
            self._peer_server,
            self._peer_client,
        ):
            try:
                if reloadable is not None and reloadable.reload_if_changed():
                    logger.info('tls: certificates reloaded.')
            except CertificateError as error:
                logger.error('tls: reload failed: {}.', error.detail)


def _context_of(reloadable: ReloadableContext | None) -> ssl.SSLContext | None:
    return None if reloadable is None else reloadable.context


__all__ = ('NodeTls',)
