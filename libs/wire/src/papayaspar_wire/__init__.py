"""Message streams between papayaspar's own processes."""

from papayaspar_wire import codecs, failures, messages, peers, transports

__all__ = ["codecs", "failures", "messages", "peers", "transports"]
