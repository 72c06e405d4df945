package main

// config returns a configuration with the services of a small deployment.
func config(version int, routes ...map[string]any) map[string]any {
	engine := map[string]any{
		"slots": 64, "kvCapacity": 672082, "kvTokenBytes": 18432, "linkMbps": 370000.0, "moves": true, "backups": true,
		"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	return map[string]any{
		"version": version, "routeList": routes,
		"services": []any{
			map[string]any{"name": "papaya-pool", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": "booking-app", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 480000,
		},
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{"key-1"}, "priority": 1}},
	}
}

// route returns a route of the host a.example.
func route(name, prefix, kind, service string, timeoutMs, goalMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "prefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "latencyGoalMs": goalMs,
		"priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming",
		"resumable": resumable, "gapTargetMs": 400,
	}
}
