"""Consistency checks of the fleet settings across options and sections."""

from __future__ import annotations

from graphlib import CycleError, TopologicalSorter
from typing import TYPE_CHECKING, Final

from ..ids import PoolId
from .faults import FaultList, quote_text
from .fleet import FleetSettings, PoolRole, Route, Service, ServiceKind
from .schema import suggest_nearest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .ini import IniDocument

MAX_CYCLES: Final = 20
"""Number of dependency cycles after which the search stops."""

_POOL_ROLES: Final = {
    'prefill_pool': PoolRole.PREFILL,
    'decode_pool': PoolRole.DECODE,
    'pool': PoolRole.PLAIN,
}
_REQUIRED_POOLS: Final = {
    ServiceKind.MODEL: ('prefill_pool', 'decode_pool'),
    ServiceKind.PLAIN: ('pool',),
}


def check_fleet(
    document: IniDocument, settings: FleetSettings, faults: FaultList
) -> None:
    """Adds a fault for each inconsistency between options or sections."""
    checker = _FleetChecker(document, settings, faults)
    checker.check_upstreams()
    checker.check_services()
    checker.check_cycles()
    checker.check_routes()
    checker.check_keys()


class _FleetChecker:
    """Checks a document and the records that were read from it."""

    def __init__(
        self,
        document: IniDocument,
        settings: FleetSettings,
        faults: FaultList,
    ) -> None:
        self._settings = settings
        self._faults = faults
        # Reversed, so that the first of duplicate sections is kept, as in
        # ``read_records``.
        self._sections = {
            (section.kind, section.name): section
            for section in reversed(document.sections)
        }

    def check_upstreams(self) -> None:
        """Checks the references and addresses of upstreams."""
        first_by_address: dict[tuple[str, int], str] = {}
        for name, upstream in self._settings.upstreams.items():
            section_key = ('upstream', name)
            self._check_reference(section_key, 'pool', 'pool', upstream.pool_id)
            self._check_reference(
                section_key,
                'failure_domain',
                'failure-domain',
                upstream.domain_id,
            )
            address = (upstream.host, upstream.port)
            first = first_by_address.setdefault(address, name)
            if first != name:
                self._add_fault(
                    section_key,
                    'address',
                    'an address of its own',
                    f'the address of upstream {first}',
                )

    def check_services(self) -> None:
        """Checks the pools and dependencies of services."""
        for name, service in self._settings.services.items():
            self._check_pools(service)
            for dependency in service.depends_on:
                self._check_reference(
                    ('service', name), 'depends_on', 'service', dependency
                )

    def check_cycles(self) -> None:
        """Checks that no service depends on itself, directly or not."""
        graph = {
            str(name): [str(other) for other in service.depends_on]
            for name, service in self._settings.services.items()
        }
        for cycle in _find_cycles(graph):
            self._add_fault(
                ('service', cycle[0]),
                'depends_on',
                'no cycle',
                f'the cycle {" -> ".join(cycle)}',
            )

    def check_routes(self) -> None:
        """Checks the services, paths and retry settings of routes."""
        first_by_method_and_path: dict[tuple[str, str], str] = {}
        for name, route in self._settings.routes.items():
            section_key = ('route', name)
            self._check_reference(
                section_key, 'service', 'service', route.service_id
            )
            self._check_repeatable(route)
            for method in route.methods:
                first = first_by_method_and_path.setdefault(
                    (method, route.path), name
                )
                if first != name:
                    self._add_fault(
                        section_key,
                        'path',
                        'a path and method of its own',
                        f'{method} {route.path} of route {first}',
                    )

    def check_keys(self) -> None:
        """Checks that each key belongs to one workspace only."""
        first_by_digest: dict[str, str] = {}
        for name, workspace in self._settings.workspaces.items():
            for digest in workspace.key_digests:
                first = first_by_digest.setdefault(digest, name)
                if first != name:
                    self._add_fault(
                        ('workspace', name),
                        'key_digests',
                        'keys of this workspace only',
                        f'a key of workspace {first}',
                    )

    def _check_pools(self, service: Service) -> None:
        required = _REQUIRED_POOLS[service.kind]
        section_key = ('service', str(service.service_id))
        for option, role in _POOL_ROLES.items():
            pool_id = getattr(service, option)
            if option not in required:
                if pool_id is not None:
                    self._add_fault(
                        section_key,
                        option,
                        f'no {option} on a {service.kind.value} service',
                        quote_text(pool_id),
                    )
            elif pool_id is None:
                self._add_fault(
                    section_key,
                    option,
                    f'a pool with role {role.value}',
                    'no such option',
                )
            else:
                self._check_role(section_key, option, pool_id)

    def _check_role(
        self, section_key: tuple[str, str], option: str, pool_id: str
    ) -> None:
        self._check_reference(section_key, option, 'pool', pool_id)
        role = _POOL_ROLES[option]
        pool = self._settings.pools.get(PoolId(pool_id))
        if pool is not None and pool.role is not role:
            self._add_fault(
                section_key,
                option,
                f'a pool with role {role.value}',
                f'pool {pool_id} with role {pool.role.value}',
            )

    def _check_repeatable(self, route: Route) -> None:
        service = self._settings.services.get(route.service_id)
        is_model = service and service.kind is ServiceKind.MODEL
        if is_model and not route.is_repeatable:
            self._add_fault(
                ('route', str(route.route_id)),
                'repeatable',
                'yes on a route to a model service',
                quote_text('no'),
            )

    def _check_reference(
        self, section_key: tuple[str, str], option: str, kind: str, name: str
    ) -> None:
        """Adds a fault if the section that an option names doesn't exist."""
        if (kind, name) in self._sections:
            return
        known = (
            other for other_kind, other in self._sections if other_kind == kind
        )
        self._add_fault(
            section_key,
            option,
            f'the name of a [{kind}] section',
            quote_text(name),
            suggest_nearest(name, known, self._faults),
        )

    def _add_fault(
        self,
        section_key: tuple[str, str],
        option: str,
        expected: str,
        found: str,
        sentence: str = '',
    ) -> None:
        section = self._sections[section_key]
        self._faults.add(
            line=section.line_of(option),
            section=section.title,
            option=option,
            expected=expected,
            found=found,
            sentence=sentence,
        )


def _find_cycles(graph: dict[str, list[str]]) -> Iterator[list[str]]:
    """Yields dependency cycles as lists of services.

    The first service of a cycle is repeated at the end. One edge of each cycle
    found is removed from ``graph``, so that the search ends and finds the
    remaining cycles.
    """
    for _ in range(MAX_CYCLES):
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as error:
            cycle = list(reversed(error.args[1]))
            graph[cycle[0]].remove(cycle[1])
            yield cycle
        else:
            return


__all__ = ('check_fleet',)
