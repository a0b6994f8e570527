"""The contract types in `tests.import_contracts`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grimp
import pytest

from tests.import_contracts import AcyclicModulesContract, StandardLibraryOnlyContract

if TYPE_CHECKING:
    from importlinter import Contract, ContractCheck


@pytest.fixture
def graph() -> grimp.ImportGraph:
    """A package `app` whose subpackages import from each other, while its modules form no cycle."""
    graph = grimp.ImportGraph()
    for module in ("app", "app.a", "app.a.top", "app.a.bottom", "app.b", "app.b.middle"):
        graph.add_module(module)
    for module in ("math", "httptools"):
        graph.add_module(module, is_squashed=True)
    graph.add_import(importer="app.a.top", imported="app.b.middle")
    graph.add_import(importer="app.b.middle", imported="app.a.bottom")
    graph.add_import(importer="app.a.bottom", imported="math")
    return graph


def check_contract(contract_type: type[Contract], graph: grimp.ImportGraph) -> ContractCheck:
    contract = contract_type("contract", {"root_packages": ["app"]}, {"packages": ["app"]})
    return contract.check(graph, verbose=False)


@pytest.mark.parametrize("contract_type", [AcyclicModulesContract, StandardLibraryOnlyContract])
def test_allowed_imports_pass(contract_type: type[Contract], graph: grimp.ImportGraph) -> None:
    assert check_contract(contract_type, graph).kept


def test_cycle_of_several_modules_is_found(graph: grimp.ImportGraph) -> None:
    graph.add_import(importer="app.a.bottom", imported="app.a.top")
    result = check_contract(AcyclicModulesContract, graph)
    assert not result.kept
    assert "app.a.bottom -> app.a.top -> app.b.middle -> app.a.bottom" in result.metadata["lines"]


def test_cycle_through_package_module_is_found(
    graph: grimp.ImportGraph,
) -> None:
    graph.add_import(importer="app.a", imported="app.a.top")
    graph.add_import(importer="app.a.top", imported="app.a")
    assert "app.a -> app.a.top -> app.a" in check_contract(AcyclicModulesContract, graph).metadata["lines"]


def test_third_party_import_is_found(graph: grimp.ImportGraph) -> None:
    graph.add_import(importer="app.b.middle", imported="httptools")
    result = check_contract(StandardLibraryOnlyContract, graph)
    assert not result.kept
    assert result.metadata["lines"] == ["app.b.middle imports httptools"]
