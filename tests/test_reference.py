"""The reference page matches the code."""

import subprocess
import sys


def test_reference_page_is_up_to_date(pytestconfig):
    completed = subprocess.run(
        [sys.executable, "-m", "papayaspar_bench_main.main", "reference"],
        capture_output=True,
        text=True,
        check=True,
    )
    page = (pytestconfig.rootpath / "docs" / "REFERENCE.md").read_text("utf-8")
    assert completed.stdout == page, "run: papayaspar-bench reference > docs/REFERENCE.md"
