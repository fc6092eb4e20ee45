"""A job queue on virtual time: leaders, a log, workers, faults and rules."""
