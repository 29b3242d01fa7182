"""Short seeded runs of the soak; `docs/PROOFS.md` lists the longer ones made by hand."""

import anyio
import pytest
import soak

# Each seed that ever broke a promise stays here, with a line on its cause.
REGRESSIONS = ()
FRESH = (1,)


@pytest.mark.parametrize("seed", FRESH + REGRESSIONS)
def test_promises_hold_under_faults(seed, tmp_path):
    verdict = anyio.run(soak.play, seed, tmp_path)
    assert verdict.violations == ()
    assert verdict.accepted > 0
