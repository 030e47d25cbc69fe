"""Adapter to the platform: header names, data formats and API calls."""
