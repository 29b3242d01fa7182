"""The operator's client.

``client.Client`` speaks to an entry's operators' listener, ``publishing`` settles a publish whose
answer was lost, ``answers`` holds what an entry answers, and ``actions`` is what
``papayaspar-ctl`` does.
"""

from papayaspar_control import answers, client, failures, publishing

__all__ = ["answers", "client", "failures", "publishing"]
