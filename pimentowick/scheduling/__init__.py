"""Admission control, fair queueing and adaptive batch limits."""
