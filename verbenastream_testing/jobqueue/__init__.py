"""Seeded fault schedules for the job queue on virtual time."""
