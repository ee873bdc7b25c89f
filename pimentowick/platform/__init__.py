"""The users' platform as it speaks: names, formats and calls, nothing that decides."""
