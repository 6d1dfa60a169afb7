"""Streams: their events, their software versions, their resumption."""
