"""The request-forwarding process for the users' platform."""
