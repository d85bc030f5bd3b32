from collections.abc import Iterator

import pytest

from tests.node import Node


@pytest.fixture
def node() -> Iterator[Node]:
    """A gateway's sockets with a script in the module's place."""
    n = Node()
    yield n
    n.close()
