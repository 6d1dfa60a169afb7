"""Requests that crash targets: found, shared and refused."""
