"""HTTP listeners with limits, and small applications on them."""

from papayaspar_serving import applications, limits, listeners, load_tables, loads, reports

__all__ = ["applications", "limits", "listeners", "load_tables", "loads", "reports"]
