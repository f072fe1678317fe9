.PHONY: build test demo lint format run adapter measure clean

build:           ## builds the jars of server and lab without running tests
	mvn -q -DskipTests package

test:            ## runs the tests and the lint checks, as CI does
	mvn -B verify

demo: build      ## runs one server with simulated peers, sends a few requests, and prints a command to send more
	java -jar lab/target/wheatspread-lab.jar demo

lint:            ## checks only format and style; compiler warnings are errors in every build
	mvn -q spotless:check checkstyle:check

format:          ## formats the sources as lint requires
	mvn -q spotless:apply

run: build       ## runs one server; GW_CONFIG names its configuration file, FRONT an operator's file
	$$(sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml) $(FRONT)

adapter: build   ## runs the simulator's adapter on standard input and output
	$$(sed -n 's/^sim = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

clean:           ## deletes all build output
	mvn -q clean

measure: build   ## runs the measurements, which takes some twenty minutes
	java -jar lab/target/wheatspread-lab.jar idle
	java -jar lab/target/wheatspread-lab.jar crowd
	java -jar lab/target/wheatspread-lab.jar bench --name idle-structures
	java -jar lab/target/wheatspread-lab.jar start --half
	java -jar lab/target/wheatspread-lab.jar fleet
	java -jar lab/target/wheatspread-lab.jar store --rounds 5
	java -jar lab/target/wheatspread-lab.jar bench IndexBenchmark --name store-index
