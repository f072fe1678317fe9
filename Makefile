.PHONY: build test demo lint format run adapter measure clean

build:           ## the jars of server and lab, without tests
	mvn -q -DskipTests package

test:            ## tests and lint, as CI runs them
	mvn -B verify

demo: build      ## one server with everybody round it played, a few requests, and the line to ask it yourself
	java -jar lab/target/wheatspread-lab.jar demo

lint:            ## format and style alone; the compiler's warnings are errors in every build
	mvn -q spotless:check checkstyle:check

format:          ## lays the sources out as lint wants them
	mvn -q spotless:apply

run: build       ## one server; GW_CONFIG names its configuration, FRONT an operator's file
	$$(sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml) $(FRONT)

adapter: build   ## the decisions on the simulator's wire, on standard input and output
	$$(sed -n 's/^sim = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

clean:
	mvn -q clean

measure: build   ## the measurements, some twenty minutes
	java -jar lab/target/wheatspread-lab.jar idle
	java -jar lab/target/wheatspread-lab.jar crowd
	java -jar lab/target/wheatspread-lab.jar bench --name idle-structures
	java -jar lab/target/wheatspread-lab.jar start --half
	java -jar lab/target/wheatspread-lab.jar fleet
	java -jar lab/target/wheatspread-lab.jar store --rounds 5
	java -jar lab/target/wheatspread-lab.jar bench IndexBenchmark --name store-index
