"""The job queue: durable jobs and configuration, orders to workers."""
