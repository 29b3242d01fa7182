"""Every example runs and prints the expected output."""

import subprocess
import sys

import pytest

EXPECTED_OUTPUTS = {
    "admit_requests.py": "served booths-0",
    "check_rules.py": "example.rules:2",
    "embed_the_system.py": "200 from w1",
    "place_a_gang.py": "w0 (0, 1, 2, 3, 4, 5, 6, 7)",
}


@pytest.mark.parametrize("name", EXPECTED_OUTPUTS)
def test_example_prints_the_expected_output(pytestconfig, name):
    path = pytestconfig.rootpath / "examples" / name
    completed = subprocess.run(
        [sys.executable, str(path)], capture_output=True, text=True, check=True, timeout=60
    )
    assert EXPECTED_OUTPUTS[name] in completed.stdout
