CONFIG ?= config.json
MINUTES ?= 20

.PHONY: build test lint run ci soak

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all -- --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	target/release/cobaltspool serve --config $(CONFIG)

ci:
	bash .ci/run

# Plays drawn days of the bench in turn; needs the kit. make soak MINUTES=20
soak:
	tools/soak $(MINUTES)
