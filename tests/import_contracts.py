"""Contract types of import-linter for import rules that its built-in types cannot express.

The contracts are defined in `pyproject.toml` and checked by `lint-imports`.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from importlinter import Contract, ContractCheck, fields, output

if TYPE_CHECKING:
    from grimp import ImportGraph


class StandardLibraryOnlyContract(Contract):
    """Allows packages to import only the standard library and import-linter's root packages.

    Options:
        packages: The names of the packages, which are checked with all their submodules.
    """

    type_name = "standard_library_only"

    packages = fields.ListField(subfield=fields.StringField())

    def check(self, graph: ImportGraph, verbose: bool) -> ContractCheck:
        """Check the imports; the result has one line for each import of a third-party module."""
        allowed = sys.stdlib_module_names | set(self.session_options["root_packages"])
        imports = [
            f"{importer} imports {imported}"
            for importer in sorted(modules_of(graph, self.packages))
            for imported in sorted(graph.find_modules_directly_imported_by(importer))
            if imported.partition(".")[0] not in allowed
        ]
        return ContractCheck(kept=not imports, metadata={"lines": imports})

    def render_broken_contract(self, check: ContractCheck) -> None:
        """Print the imports that break the contract."""
        print_lines(check)


class AcyclicModulesContract(Contract):
    """Forbids import cycles between modules, within a package and across packages.

    The built-in contract type `acyclic_siblings` looks for cycles of packages: it also forbids imports in
    both directions between two packages whose modules form no cycle.

    Options:
        packages: The names of the packages whose modules are checked.
    """

    type_name = "acyclic_modules"

    packages = fields.ListField(subfield=fields.StringField())

    def check(self, graph: ImportGraph, verbose: bool) -> ContractCheck:
        """Check the imports; the result has one line for each import that is part of a cycle."""
        cycles = [
            " -> ".join([importer, *chain])
            for importer in sorted(modules_of(graph, self.packages))
            for imported in sorted(graph.find_modules_directly_imported_by(importer))
            if (chain := graph.find_shortest_chain(imported, importer))
        ]
        return ContractCheck(kept=not cycles, metadata={"lines": cycles})

    def render_broken_contract(self, check: ContractCheck) -> None:
        """Print each cycle once for every import in it."""
        print_lines(check)


def modules_of(graph: ImportGraph, packages: object) -> set[str]:
    """Return the modules of the named packages, including the packages themselves."""
    names = [str(name) for name in packages] if isinstance(packages, list) else []
    return set(names).union(*(graph.find_descendants(name) for name in names))


def print_lines(check: ContractCheck) -> None:
    """Print the lines that a check has stored in its metadata."""
    for line in check.metadata["lines"]:
        output.print_error(line)
    output.new_line()
