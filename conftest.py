"""Hypothesis settings of all tests: every run uses the same examples."""

import hypothesis

hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100)
hypothesis.settings.load_profile("fixed")
