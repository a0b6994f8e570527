"""Fixtures of the testbed's tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from testbed.discovery.service import Discovery
from testbed.upstream.group import UpstreamGroup

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def discovery() -> AsyncIterator[Discovery]:
    """A discovery service with an empty endpoint list, stopped after the test."""
    service = Discovery()
    yield service
    await service.stop()


@pytest.fixture
async def upstreams() -> AsyncIterator[UpstreamGroup]:
    """An empty group of upstreams, closed after the test."""
    group = UpstreamGroup(seed=1)
    yield group
    group.close()
