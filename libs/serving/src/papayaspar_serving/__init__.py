"""HTTP listeners and small applications on them."""

from papayaspar_serving import applications, listeners

__all__ = ["applications", "listeners"]
