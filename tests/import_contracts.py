"""Contract types for import-linter: the rules on imports that none of its own contract types can express.

The contracts themselves are in `pyproject.toml`. Run them with `lint-imports`.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from importlinter import Contract, ContractCheck, fields, output

if TYPE_CHECKING:
    from grimp import ImportGraph


class StandardLibraryOnlyContract(Contract):
    """Packages that import nothing but the standard library and the top-level packages that are checked.

    Options:
        packages: Names of the packages. Their submodules are checked too.
    """

    type_name = "standard_library_only"

    packages = fields.ListField(subfield=fields.StringField())

    def check(self, graph: ImportGraph, verbose: bool) -> ContractCheck:
        """Return a broken contract with one line for each import of a third-party module."""
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
    """Modules that do not import each other in a cycle, whichever packages they are in.

    The contract type `acyclic_siblings` compares whole packages: it also forbids that two packages import
    from each other where no module is part of a cycle.

    Options:
        packages: Names of the packages whose modules are checked.
    """

    type_name = "acyclic_modules"

    packages = fields.ListField(subfield=fields.StringField())

    def check(self, graph: ImportGraph, verbose: bool) -> ContractCheck:
        """Return a broken contract with one line for each import that closes a cycle."""
        cycles = [
            " -> ".join([importer, *chain])
            for importer in sorted(modules_of(graph, self.packages))
            for imported in sorted(graph.find_modules_directly_imported_by(importer))
            if (chain := graph.find_shortest_chain(imported, importer))
        ]
        return ContractCheck(kept=not cycles, metadata={"lines": cycles})

    def render_broken_contract(self, check: ContractCheck) -> None:
        """Print each cycle, starting from every import in it."""
        print_lines(check)


def modules_of(graph: ImportGraph, packages: object) -> set[str]:
    """Return the modules of the named packages, the packages themselves included."""
    names = [str(name) for name in packages] if isinstance(packages, list) else []
    return set(names).union(*(graph.find_descendants(name) for name in names))


def print_lines(check: ContractCheck) -> None:
    """Print the lines that a check has left in its metadata."""
    for line in check.metadata["lines"]:
        output.print_error(line)
    output.new_line()
