"""Queue and placement of model requests in a node.

The owner of a cell queues and places the requests of all nodes; the entry
node of a request reaches the owner through ``OwnerLink``. The owner also
polls the engines of its cells and frees orphaned holdings.
"""

from __future__ import annotations
