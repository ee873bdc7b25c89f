"""The entry daemon, which serves the requests of callers and operators."""
