"""Batch jobs: records, shard ledgers, ownership and dispatch."""
