"""Workloads of the two deployments below ``examples/``."""

from __future__ import annotations

from typing import Final

from catkinreach_core.ids import WorkspaceId

from .workload import (
    RequestClass,
    RequestKind,
    TokenRange,
    Workload,
    WorkspaceShare,
)

CHAT_PATH = '/v1/chat/completions'

NINEPATCH: Final = Workload(
    name='ninepatch',
    model='pattern-llm',
    classes=(
        RequestClass(
            name='block-brief',
            kind=RequestKind.MODEL,
            share=20,
            path=CHAT_PATH,
            prefix_tokens=1536,
            prefix_count=3,
            unique_tokens=TokenRange(200, 900),
            output_tokens=TokenRange(120, 240),
        ),
        RequestClass(
            name='pull-list',
            kind=RequestKind.MODEL,
            share=15,
            path=CHAT_PATH,
            prefix_tokens=1024,
            prefix_count=3,
            unique_tokens=TokenRange(100, 400),
            output_tokens=TokenRange(60, 140),
        ),
        RequestClass(
            name='reminder',
            kind=RequestKind.MODEL,
            share=15,
            path=CHAT_PATH,
            unique_tokens=TokenRange(60, 250),
            output_tokens=TokenRange(30, 80),
        ),
        RequestClass(
            name='status',
            kind=RequestKind.READ,
            share=35,
            path='/bee/status',
            method='GET',
        ),
        RequestClass(
            name='claim',
            kind=RequestKind.ORDER,
            share=10,
            path='/bee/claims',
        ),
        RequestClass(
            name='label',
            kind=RequestKind.ORDER,
            share=5,
            path='/bee/labels',
        ),
    ),
    workspaces=(
        WorkspaceShare(WorkspaceId('sunday-bee'), 30),
        WorkspaceShare(WorkspaceId('harbour-quilts'), 30),
        WorkspaceShare(WorkspaceId('moon-gate'), 15),
        WorkspaceShare(WorkspaceId('lantern-row'), 15),
        WorkspaceShare(WorkspaceId('studio-desk'), 10),
    ),
)

DAR_EL_QARMID: Final = Workload(
    name='dar-el-qarmid',
    model='shade-llm',
    classes=(
        RequestClass(
            name='shade-verdict',
            kind=RequestKind.MODEL,
            share=40,
            path=CHAT_PATH,
            prefix_tokens=2048,
            prefix_count=3,
            unique_tokens=TokenRange(300, 1200),
            output_tokens=TokenRange(20, 70),
        ),
        RequestClass(
            name='glaze-note',
            kind=RequestKind.MODEL,
            share=10,
            path=CHAT_PATH,
            prefix_tokens=1024,
            prefix_count=2,
            unique_tokens=TokenRange(200, 800),
            output_tokens=TokenRange(80, 160),
        ),
        RequestClass(
            name='stock',
            kind=RequestKind.READ,
            share=35,
            path='/desk/stock',
            method='GET',
        ),
        RequestClass(
            name='hold',
            kind=RequestKind.ORDER,
            share=15,
            path='/desk/holds',
        ),
    ),
    workspaces=(
        WorkspaceShare(WorkspaceId('villa-estimates'), 30),
        WorkspaceShare(WorkspaceId('mosque-estimates'), 30),
        WorkspaceShare(WorkspaceId('roof-crews'), 15),
        WorkspaceShare(WorkspaceId('kiln-office'), 15),
        WorkspaceShare(WorkspaceId('sample-room'), 10),
    ),
)

WORKLOADS: Final = {
    workload.name: workload for workload in (NINEPATCH, DAR_EL_QARMID)
}

__all__ = ('DAR_EL_QARMID', 'NINEPATCH', 'WORKLOADS')
