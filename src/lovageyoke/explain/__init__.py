"""Follows a request through the logs of many processes."""
