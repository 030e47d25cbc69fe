"""Traces a request through the logs of several processes."""
