"""Daemon that runs beside each target and proxies all requests to it."""
