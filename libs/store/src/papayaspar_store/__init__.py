"""The platform's store as papayaspar uses it: records, followers and the lead's writer."""

from papayaspar_store import failures, following, records, stores, views, writing

__all__ = ["failures", "following", "records", "stores", "views", "writing"]
