"""Batch jobs: records, ledger, ownership, dispatch."""
