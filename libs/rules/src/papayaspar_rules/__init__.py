"""Rules file, its validation, and the chain of revisions."""
