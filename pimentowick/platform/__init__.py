"""The platform's wire names, formats and calls; contains no policy."""
