#!/bin/sh
# Writes examples/bounce-meitheal/ and examples/peachtree/: 50 workers, four to
# a rack, five services of 8 to 12 minions. Each service has a pool of its own;
# a rack holds at most two workers of a pool, so that the loss of a rack costs
# little of each.
set -eu
cd "$(dirname "$0")/.."

inventory() { # region zones memory_mb network services...
	region=$1 zones=$2 memory_mb=$3 network=$4
	shift 4
	awk -v region="$region" -v zones="$zones" -v memory_mb="$memory_mb" \
		-v network="$network" -v services="$*" 'BEGIN {
		zone_count = split(zones, zone, " ")
		split(services, service, " ")
		print "kind,id,address,rack,zone,region,pool,cores," \
			"memory_mb,service,worker,port"
		for (i = 0; i < 50; i++) {
			rack = int(i / 4)
			pool = service[i % 5 + 1]
			# the third service is the smallest, the first the largest
			if (i == 2 || i == 7)
				pool = service[1]
			z = rack % zone_count + 1
			address = network "." rack + 1 "." i % 4 + 1
			worker = sprintf("%s-w%02d", region, i + 1)
			printf "worker,%s,%s,%s-r%02d,%s,%s,%s,32,%d,,,\n",
				worker, address, region, rack + 1, zone[z],
				region, pool, memory_mb
			minions = minions sprintf("minion,%s-%02d,%s,,,,,,," \
				"%s,%s,8080\n", pool, ++n[pool], address, pool,
				worker)
		}
		printf "%s", minions
	}'
}

inventory ie "dub-a dub-b dub-c" 131072 10.1 \
	session party toddler school-group member \
	>examples/bounce-meitheal/inventory.csv
inventory ga "atl-a atl-b atl-c atl-d" 65536 10.2 \
	validation naming dispatch numbering admin \
	>examples/peachtree/inventory.csv
