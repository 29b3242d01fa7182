"""Every example runs and says what it promises."""

import subprocess
import sys

import pytest

SAYS = {
    "admit_requests.py": "served booths-0",
    "check_rules.py": "example.rules:2",
    "embed_the_system.py": "200 from w1",
    "place_a_gang.py": "w0 (0, 1, 2, 3, 4, 5, 6, 7)",
}


@pytest.mark.parametrize("name", SAYS)
def test_an_example_runs(pytestconfig, name):
    path = pytestconfig.rootpath / "examples" / name
    made = subprocess.run(
        [sys.executable, str(path)], capture_output=True, text=True, check=True, timeout=60
    )
    assert SAYS[name] in made.stdout
