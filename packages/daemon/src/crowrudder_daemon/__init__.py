"""The processes: settings, logs, metrics, sockets and the tasks that own them."""
