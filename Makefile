# cherrylanding: `make demo` and `make check` set up everything they need.

VERSION = 0.1.0
MODE ?= release

prefix = /usr/local
exec_prefix = $(prefix)
bindir = $(exec_prefix)/bin
datarootdir = $(prefix)/share
mandir = $(datarootdir)/man
INSTALL = install
INSTALL_PROGRAM = $(INSTALL)
INSTALL_DATA = $(INSTALL) -m 644

CC = gcc
CLANG_FORMAT = clang-format
CLANG_TIDY = clang-tidy
PROTOC_C = protoc-c

BUILD = build-$(MODE)
OPT_release = -O2 -g
OPT_sanitize = -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer
CFLAGS = $(OPT_$(MODE))

PACKAGES = libevent libevent_openssl evhtp libprotobuf-c libcyaml yaml-0.1 jansson libxxhash openssl
APT = libevent-dev libevhtp-dev libprotobuf-c-dev protobuf-c-compiler \
	libcyaml-dev libyaml-dev libjansson-dev libcunit1-dev libxxhash-dev \
	uthash-dev libssl-dev libcurl4-openssl-dev curl pkg-config gcc make

WARNINGS = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wwrite-strings -Wpointer-arith -Wvla -Wformat=2 -Werror
CPPFLAGS = -D_GNU_SOURCE -DCHERRYLANDING_VERSION='"$(VERSION)"' -Isrc -Itests
PKG_CFLAGS = $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
PKG_LIBS = $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lm
ALL_CFLAGS = -std=gnu11 $(WARNINGS) $(CPPFLAGS) $(PKG_CFLAGS) $(CFLAGS)

LINT_FLAGS = -std=gnu11 -D_GNU_SOURCE -DCHERRYLANDING_VERSION=\"$(VERSION)\" -Isrc -Itests $(PKG_CFLAGS)

MAIN_SRC = src/main.c
LIB_SRC = $(filter-out $(MAIN_SRC),$(wildcard src/*.c src/*/*.c platform/*.c))
STANDIN_SRC = $(wildcard tests/standin/*.c)
LOAD_SRC = $(wildcard bench/*.c)
TEST_SRC = $(wildcard tests/test_*.c)
SUPPORT_SRC = $(wildcard tests/support/*.c)
FUZZ_SRC = $(wildcard tests/fuzz/*.c)

LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
MAIN_OBJ = $(MAIN_SRC:%.c=$(BUILD)/%.o)
# The stand-in for the users' platform is the one that the tests run in place.
STANDIN_SHARED_SRC = tests/support/freeport.c tests/support/storeseed.c \
	tests/support/storeserver.c tests/support/upstreamserver.c
STANDIN_OBJ = $(STANDIN_SRC:%.c=$(BUILD)/%.o) $(STANDIN_SHARED_SRC:%.c=$(BUILD)/%.o)
# The load generator checks responses with the stand-ins' own texts.
LOAD_SHARED_SRC = tests/standin/address.c tests/standin/record.c \
	tests/standin/body.c
LOAD_OBJ = $(LOAD_SRC:%.c=$(BUILD)/%.o) $(LOAD_SHARED_SRC:%.c=$(BUILD)/%.o)
SOAK_SRC = $(wildcard tests/soak/*.c)
SOAK_OBJ = $(SOAK_SRC:%.c=$(BUILD)/%.o) $(STANDIN_SHARED_SRC:%.c=$(BUILD)/%.o)
SUPPORT_OBJ = $(SUPPORT_SRC:%.c=$(BUILD)/%.o)
TESTS = $(TEST_SRC:tests/%.c=$(BUILD)/%)

OWN_C = $(filter-out %.pb-c.c,$(wildcard src/*.c src/*/*.c platform/*.c tests/*.c tests/*/*.c bench/*.c))
OWN_H = $(filter-out %.pb-c.h,$(wildcard src/*.h src/*/*.h platform/*.h tests/*.h tests/*/*.h bench/*.h))

PROGRAMS = $(BUILD)/cherrylanding
ifneq ($(STANDIN_SRC),)
PROGRAMS += $(BUILD)/standin
endif
ifneq ($(LOAD_SRC),)
PROGRAMS += $(BUILD)/load
endif
ifneq ($(SOAK_SRC),)
PROGRAMS += $(BUILD)/soak
endif

.PHONY: all programs tests setup demo check soak regress bench bench-fair \
	bench-scale golden lint format format-check proto install clean fuzz
.SECONDARY:

all: programs

programs: $(PROGRAMS)

tests: programs $(TESTS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -MMD -MP -c -o $@ $<

# Generated code is not held to the project's own warnings.
$(BUILD)/%.pb-c.o: %.pb-c.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 $(CPPFLAGS) $(PKG_CFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/libcherrylanding.a: $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $(LIB_OBJ)

$(BUILD)/cherrylanding: $(MAIN_OBJ) $(BUILD)/libcherrylanding.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/standin: $(STANDIN_OBJ) $(BUILD)/libcherrylanding.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/load: $(LOAD_OBJ) $(BUILD)/libcherrylanding.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/soak: $(SOAK_OBJ) $(BUILD)/libcherrylanding.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/test_%: $(BUILD)/tests/test_%.o $(SUPPORT_OBJ) $(BUILD)/libcherrylanding.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS) -lcunit -lcurl

setup:
	@sh tests/setup.sh $(APT)

check: setup
	+$(MAKE) tests
	sh tests/run.sh $(BUILD)

demo: setup
	+$(MAKE) programs
	sh bench/demo.sh $(BUILD)
	sh tests/regress_gateway.sh $(BUILD)

# make soak SEED=N SOAK_ARGS="--seconds N"
SEED = 1
soak: setup
	+$(MAKE) programs
	sh tests/soak.sh $(BUILD) --seed $(SEED) $(SOAK_ARGS)

bench: setup
	+$(MAKE) programs
	sh bench/latency.sh $(BUILD)

bench-fair: setup
	+$(MAKE) programs
	sh bench/fair.sh $(BUILD) $(BENCH_ARGS)

bench-scale: setup
	+$(MAKE) programs
	sh bench/scale.sh $(BUILD) $(BENCH_ARGS)

golden: tests
	sh tests/golden.sh $(BUILD) --rewrite

fuzz:
	sh tests/fuzz/fuzz.sh

lint:
	printf '%s\n' $(OWN_C) | xargs -P 8 -n 1 sh -c \
		'$(CLANG_TIDY) --quiet "$$@" -- $(LINT_FLAGS)' lint
	cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr -j 8 \
		--enable=warning,portability --suppress=missingIncludeSystem \
		-Isrc $(OWN_C)

format:
	$(CLANG_FORMAT) -i $(OWN_C) $(OWN_H)

format-check:
	$(CLANG_FORMAT) --dry-run --Werror $(OWN_C) $(OWN_H)

proto:
	$(PROTOC_C) --proto_path=proto --c_out=src/protocol proto/peer.proto

install: programs
	$(INSTALL) -d $(DESTDIR)$(bindir) $(DESTDIR)$(mandir)/man1 $(DESTDIR)$(mandir)/man5
	$(INSTALL_PROGRAM) $(BUILD)/cherrylanding $(DESTDIR)$(bindir)/cherrylanding
	$(INSTALL_DATA) man/cherrylanding.1 $(DESTDIR)$(mandir)/man1/
	$(INSTALL_DATA) man/cherrylanding.yaml.5 $(DESTDIR)$(mandir)/man5/

clean:
	rm -rf build-release build-sanitize

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
