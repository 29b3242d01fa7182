"""The operator's client.

``client.Client`` sends requests to the operators' API of an entry, ``publishing`` publishes rules
exactly once, ``answers`` decodes the responses of an entry, and ``actions`` implements the commands
of ``papayaspar-ctl``.
"""

from papayaspar_control import answers, client, failures, publishing

__all__ = ["answers", "client", "failures", "publishing"]
