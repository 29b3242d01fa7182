"""The reference page is what the code says."""

import subprocess
import sys


def test_reference_page_is_up_to_date(pytestconfig):
    made = subprocess.run(
        [sys.executable, "-m", "papayaspar_bench_main.main", "reference"],
        capture_output=True,
        text=True,
        check=True,
    )
    page = (pytestconfig.rootpath / "docs" / "REFERENCE.md").read_text("utf-8")
    assert made.stdout == page, "run: papayaspar-bench reference > docs/REFERENCE.md"
