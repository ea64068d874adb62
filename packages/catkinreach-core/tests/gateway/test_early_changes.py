"""Changes that stop work, and are told before what precedes them is read."""

from __future__ import annotations

import pytest
from msgspec import structs

from catkinreach_core.gateway.early_changes import (
    MAX_EARLY_CHANGES,
    EarlyChanges,
    stops_work,
)
from catkinreach_core.gateway.feed import (
    DomainEvacuated,
    DomainRestored,
    SmallChange,
    UpstreamPublished,
    UpstreamRemoved,
)
from catkinreach_core.gateway.upstream import UpstreamState
from catkinreach_core.ids import FailureDomainId, Revision, UpstreamId
from catkinreach_standins.fakes.gateway import make_upstream

READY = make_upstream('a')
DOMAIN = FailureDomainId('north')
GONE = UpstreamRemoved(UpstreamId('a'))


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        (GONE, True),
        (DomainEvacuated(DOMAIN), True),
        (
            UpstreamPublished(
                structs.replace(READY, state=UpstreamState.DRAINING)
            ),
            True,
        ),
        (UpstreamPublished(READY), False),
        (DomainRestored(DOMAIN), False),
    ],
)
def test_only_some_changes_stop_work(
    change: SmallChange, *, expected: bool
) -> None:
    assert stops_work(change) is expected


def test_early_change_holds_until_its_revision_is_read() -> None:
    early = EarlyChanges()
    early.note(Revision(7), [GONE])
    early.note(Revision(9), [DomainEvacuated(DOMAIN)])
    assert early.beyond(Revision(6)) == [GONE, DomainEvacuated(DOMAIN)]
    assert early.beyond(Revision(7)) == [DomainEvacuated(DOMAIN)]
    assert not early.beyond(Revision(9))
    assert not early.beyond(Revision(0))


def test_early_changes_are_bounded() -> None:
    early = EarlyChanges()
    early.note(Revision(7), [GONE] * (2 * MAX_EARLY_CHANGES))
    assert len(early.beyond(Revision(0))) == MAX_EARLY_CHANGES
