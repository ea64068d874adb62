"""Renders the ``/status`` and ``/queue`` documents as one HTML page.

The page is read-only. It has no script and loads no resource, and its
Content Security Policy (Level 3) forbids both.
"""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING, Any, Final, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

Document: TypeAlias = 'Mapping[str, Any]'

PAGE_HEADERS: Final = (
    ('content-type', 'text/html; charset=utf-8'),
    ('cache-control', 'no-store'),
    (
        'content-security-policy',
        (
            "default-src 'none'; style-src 'unsafe-inline'; "
            "base-uri 'none'; form-action 'none'; frame-ancestors 'none'"
        ),
    ),
    ('x-content-type-options', 'nosniff'),
    ('referrer-policy', 'no-referrer'),
)
_STYLE = (
    'body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;'
    'max-width:64rem;padding:0 1rem;color:#222;background:#fff}'
    'h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:2rem}'
    'table{border-collapse:collapse;width:100%}'
    'th,td{text-align:left;padding:.25rem .75rem;'
    'border-bottom:1px solid #ccc;vertical-align:top}'
    'td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}'
    'tr.bad td{background:#fde8e8}p.none{color:#666}'
)
_HEALTHY = 'up'


def render_page(
    status: Document, queues: Document, *, accepted_age_s: float | None
) -> str:
    """Returns the page; every text of the documents is escaped.

    Args:
        status: The status document.
        queues: The queue document, with one member for each cell.
        accepted_age_s: Time since the settings in force were accepted.
    """
    name = escape(str(status.get('vm', '')))
    return ''.join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            f'<title>catkinreach {name}</title><style>{_STYLE}</style>',
            f'</head><body><h1>catkinreach on {name}</h1>',
            _node_section(status),
            _configuration_section(status, accepted_age_s),
            _queue_section(queues),
            _upstream_section(status),
            _ownership_section(status),
            '</body></html>\n',
        )
    )


def _node_section(status: Document) -> str:
    names = ('failure_domain', 'incarnation', 'running', 'connections')
    rows = [(name.replace('_', ' '), status.get(name)) for name in names]
    rows.append(('draining', 'yes' if status.get('draining') else 'no'))
    return _property_section('Node', rows)


def _configuration_section(
    status: Document, accepted_age_s: float | None
) -> str:
    configuration = status.get('configuration', {})
    rows = [
        ('revision in force', status.get('config_revision')),
        ('in force on this node for', _duration(accepted_age_s)),
        ('newest revision held', configuration.get('newest_held')),
        ('refused', configuration.get('refused') or 'no'),
        ('confirmed', _age(configuration.get('confirmed_age_s'))),
        ('VM list revision', status.get('vm_list_revision')),
    ]
    return _property_section('Configuration', rows)


def _queue_section(queues: Document) -> str:
    rows = [
        (
            cell,
            workspace or 'open routes',
            depth.get('waiting', 0),
            depth.get('tokens', 0),
            _duration(depth.get('oldest_age_s')),
        )
        for cell, queue in queues.items()
        for workspace, depth in queue.get('workspaces', {}).items()
    ]
    head = ('cell', 'workspace', 'waiting', 'tokens', 'oldest')
    empty_text = (
        'No request is queued.' if queues else 'This node owns no queue.'
    )
    return _section('Queue by workspace', _table(head, rows, empty_text))


def _upstream_section(status: Document) -> str:
    rows = [
        (
            name,
            engine.get('health', ''),
            'yes' if engine.get('in_service') else 'no',
            engine.get('used_places', 0),
            engine.get('places', 0),
            engine.get('completed', 0),
            engine.get('free_pieces', 0),
        )
        for cell in status.get('cells', {}).values()
        for name, engine in cell.get('engines', {}).items()
    ]
    head = (
        'upstream',
        'health',
        'in service',
        'in use',
        'ramp allows',
        'completed',
        'free KV pieces',
    )
    unhealthy = {row[0] for row in rows if row[1] != _HEALTHY or row[2] == 'no'}
    text = _table(
        head, rows, 'This node owns no upstream.', highlighted=unhealthy
    )
    return _section('Upstreams', text)


def _ownership_section(status: Document) -> str:
    owned = status.get('ownership', {}).get('owned', ())
    members = status.get('membership', {}).get('members', {})
    by_kind: dict[str, list[str]] = {}
    for shard in owned:
        kind, _, number = str(shard).partition('/')
        by_kind.setdefault(kind, []).append(number)
    rows = [
        (kind, len(shards), ', '.join(shards))
        for kind, shards in by_kind.items()
    ]
    shards = _table(
        ('kind', 'count', 'shards'), rows, 'This node owns no shard.'
    )
    peers = _table(
        ('VM', 'state'), list(members.items()), 'No other VM is known.'
    )
    return _section('Owned here', shards) + _section('Other VMs', peers)


def _property_section(title: str, rows: Iterable[tuple[str, object]]) -> str:
    table_rows = ''.join(
        f'<tr><th>{escape(name)}</th><td>{_cell_text(value)}</td></tr>'
        for name, value in rows
    )
    return _section(title, f'<table>{table_rows}</table>')


def _section(title: str, content: str) -> str:
    return f'<section><h2>{escape(title)}</h2>{content}</section>'


def _table(
    head: Sequence[str],
    rows: Sequence[Sequence[object]],
    empty_text: str,
    *,
    highlighted: Iterable[object] = (),
) -> str:
    if not rows:
        return f'<p class="none">{escape(empty_text)}</p>'
    numeric = [isinstance(cell, int | float) for cell in rows[0]]
    titles = _cells('th', head, numeric)
    lines = ''.join(
        f'<tr{" class=bad" if row[0] in highlighted else ""}>'
        f'{_cells("td", row, numeric)}</tr>'
        for row in rows
    )
    return f'<table><tr>{titles}</tr>{lines}</table>'


def _cells(tag: str, row: Sequence[object], numeric: Sequence[bool]) -> str:
    return ''.join(
        f'<{tag}{" class=n" if is_numeric else ""}>{_cell_text(cell)}</{tag}>'
        for cell, is_numeric in zip(row, numeric, strict=True)
    )


def _cell_text(value: object) -> str:
    if value is None:
        return '-'
    if isinstance(value, float):
        return f'{value:.2f}'
    return escape(str(value))


def _duration(seconds: float | None) -> str:
    return '-' if seconds is None else f'{seconds:.1f} s'


def _age(seconds: float | None) -> str:
    return '-' if seconds is None else f'{seconds:.1f} s ago'


__all__ = ('PAGE_HEADERS', 'render_page')
