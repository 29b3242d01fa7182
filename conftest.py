"""Settings of all tests: the same examples on every run."""

import hypothesis

hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100)
hypothesis.settings.load_profile("fixed")
