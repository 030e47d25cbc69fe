"""The process that forwards requests on the users' platform."""
