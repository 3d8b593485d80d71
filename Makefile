MODULES := rollout lagoonlink lagoonctl declare lagoonbench deployments
BIN := bin

.PHONY: build demo test docs lint

build:
	go build -o $(BIN)/ ./lagoonlink ./lagoonctl ./lagoonbench ./deployments/tsehay ./deployments/arjcb

demo: build
	$(BIN)/lagoonbench demo
