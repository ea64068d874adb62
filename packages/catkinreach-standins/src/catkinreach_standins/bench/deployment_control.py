"""Calls from operators and tests to control ports of a deployment."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from .calls import http_call
from .plan import OPERATOR_KEY

if TYPE_CHECKING:
    from .plan import NodePlan


class DeploymentControl:
    """Publishes configuration and calls operator ports and control ports.

    Attributes:
        config_port: Port of the configuration service.
    """

    config_port: int

    def operator_call(
        self, node: NodePlan, method: str, path: str
    ) -> tuple[int, Any]:
        """Calls a node's operator address with the operator key.

        Returns:
            The status and the decoded JSON body.
        """
        status, body = http_call(
            node.operator_port,
            method,
            path,
            headers={'authorization': f'Bearer {OPERATOR_KEY}'},
        )
        return status, json.loads(body)

    def publish_config(self, text: str) -> None:
        """Publishes a new revision of the fleet configuration."""
        http_call(self.config_port, 'PUT', '/standin/config', text.encode())

    def publish_vms(self, vms: list[dict[str, str]]) -> None:
        """Publishes a new revision of the VM list."""
        http_call(
            self.config_port,
            'PUT',
            '/standin/vms',
            json.dumps(vms).encode(),
        )

    def standin_call(
        self, port: int, method: str, path: str, document: object = None
    ) -> Any:
        """Calls the control port of a stand-in.

        Returns:
            The decoded JSON answer, ``None`` if the body is empty.
        """
        body = b'' if document is None else json.dumps(document).encode()
        _, answer = http_call(port, method, path, body)
        return json.loads(answer) if answer else None


__all__ = ('DeploymentControl',)
