"""Decisions on waiting, refusing, placing and preempting.

Functions and small tables over data and time, without input or output: a module here
imports neither tornado, asyncio nor `pimentowick.platform`, and logs nothing
(`tests/test_rooms.py` of the gateway checks it). Each names its load pattern and the
reason for its limits, and has a test that replays the load.
"""
