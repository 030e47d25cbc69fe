"""HTTP/1.1 connections to callers, upstreams and the key-value store."""
