"""Replicated job queue: stores jobs and assigns their tasks to workers."""
