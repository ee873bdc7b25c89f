"""A fault soak: real gateway processes, faults from outside, checks of the promises."""
