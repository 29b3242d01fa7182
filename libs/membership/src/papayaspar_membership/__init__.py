"""View of the workers and ejection of failing ones."""
