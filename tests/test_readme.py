"""The example in the README runs, and prints the output shown there."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_example_prints_documented_output() -> None:
    code = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    assert len(code) == 1
    example = subprocess.run([sys.executable, "-c", code[0]], text=True, capture_output=True, check=True)
    assert example.stdout == "".join(f"request {n} goes to an endpoint for at most 250 ms\n" for n in (1, 2))
