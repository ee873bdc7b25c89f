"""Scheduling and admission policies of an entry, free of input and output.

The modules hold pure functions and small tables over explicit times: none of them
imports tornado, asyncio or `pimentowick.platform`, and none logs
(`tests/test_policy_imports.py` of the gateway checks the imports). Each module
documents the load pattern it is designed for, and its tests replay that load.
"""
