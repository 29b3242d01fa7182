"""Access to the platform's store: record types, partition followers and the lead's writer."""

from papayaspar_store import failures, following, records, stores, views, writing

__all__ = ["failures", "following", "records", "stores", "views", "writing"]
