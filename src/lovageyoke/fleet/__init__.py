"""Membership and state replication between processes of a deployment."""
