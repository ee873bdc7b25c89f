"""Placement of models on engines, by one elected controller with fenced orders."""
