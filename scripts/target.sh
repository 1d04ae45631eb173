# Sourced: writes an inventory and rules of the target's size (5,100 workers
# and minions in 232 pools) to $work/target.csv and $work/target.json.

target_inventory() { # POOL-OF-WORKER-7
	awk -v moved="$1" 'BEGIN {
		print "kind,id,address,rack,zone,region,pool,cores,memory_mb," \
			"service,worker,port"
		for (i = 0; i < 5100; i++) {
			rack = int(i / 4)
			zone = rack % 17
			pool = i == 7 ? moved : i % 232
			address = "10.0." int(i / 250) "." i % 250 + 1
			printf "worker,w%04d,%s,r%04d,z%02d,region-%d," \
				"pool-%03d,32,1000,,,\n", i, address, rack,
				zone, zone % 8, pool
			minions = minions sprintf("minion,m%04d,%s,,,,,,," \
				"service-%03d,w%04d,8080\n", i, address,
				i % 232, i)
		}
		printf "%s", minions
	}' >"$work/target.csv"
}

target_rules() {
	awk 'BEGIN {
		for (i = 0; i < 232; i++) {
			comma = i == 0 ? "" : ","
			pools = pools comma sprintf("{\"id\": \"pool-%03d\", " \
				"\"lose_count\": 6}\n", i)
			services = services comma sprintf("{\"id\": " \
				"\"service-%03d\", \"path_prefix\": " \
				"\"/service-%03d\", \"pool\": " \
				"\"pool-%03d\"}\n", i, i, i)
		}
		print "{\"pools\": [" pools "], \"services\": [" services "]}"
	}' >"$work/target.json"
}
