CONFIG ?= config.json

.PHONY: build test lint run ci

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --locked --all-targets -- -D warnings

run: build
	target/release/cobaltspool serve --config $(CONFIG)

ci:
	bash .ci/run
