# Builds the library, the programs, the fakes, the bench and the tests.
-include config.mk

BUILD ?= build
CFLAGS ?= -O2 -g
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes
ALL_CFLAGS = -std=gnu11 $(WARNINGS) $(CFLAGS) -fPIC -Iinclude -Iprocess \
  -Iversion -Irequest -Iconnection -Iplatform -Ifakes $(PKG_CFLAGS) $(EXTRA)

LIB_SRC = $(wildcard process/*.c version/*.c request/*.c connection/*.c \
  platform/*.c)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
FAKE_COMMON = $(BUILD)/fakes/fake_http.o
PROGRAMS = $(BUILD)/ibisloomd $(BUILD)/ibisctl
FAKES = $(BUILD)/fake_engine $(BUILD)/fake_service $(BUILD)/fake_platform $(BUILD)/fake_link
BENCH = $(BUILD)/ibisload $(BUILD)/ibismicro
TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test_*.c))

all: $(BUILD)/libibisloom.a $(BUILD)/libibisloom.so $(PROGRAMS) $(FAKES) $(BENCH)

config.mk:
	./configure

$(BUILD)/%.o: %.c config.mk
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/libibisloom.a: $(LIB_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

$(BUILD)/libibisloom.so: $(LIB_OBJ)
	$(CC) $(CFLAGS) $(EXTRA) -shared $^ -o $@ $(PKG_LIBS)

$(BUILD)/ibisloomd: $(BUILD)/daemon/ibisloomd.o $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS)

CTL_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard daemon/ctl_*.c))
$(BUILD)/ibisctl: $(BUILD)/daemon/ibisctl.o $(CTL_OBJ) $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS)

$(BUILD)/fake_%: $(BUILD)/fakes/fake_%.o $(FAKE_COMMON) $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS)

LOAD_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard bench/load*.c))
$(BUILD)/ibisload: $(LOAD_OBJ) $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS)

MICRO_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard bench/micro*.c))
$(BUILD)/ibismicro: $(MICRO_OBJ) $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS)

FIXTURES = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/*_fixture.c))
FIXTURE_TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,\
  $(shell grep -l -e '"shop.h"' -e '_fixture.h"' tests/test_*.c))
$(FIXTURE_TESTS): $(BUILD)/tests/test_%: \
  $(BUILD)/tests/test_%.o $(BUILD)/tests/shop.o $(FIXTURES) $(BUILD)/libibisloom.a | $(BUILD)/ibisloomd
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS) -lcunit

$(BUILD)/tests/test_route: | $(BUILD)/ibisctl

SOAK_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak*.c))
$(BUILD)/tests/soak: $(SOAK_OBJ) $(FIXTURES) $(BUILD)/libibisloom.a | $(BUILD)/ibisloomd
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS)

$(BUILD)/tests/test_fuzz: $(BUILD)/tests/test_fuzz.o \
  $(BUILD)/tests/fuzz_parsers.o $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS) -lcunit

# For clang with -fsanitize=fuzzer-no-link; see DEVELOPERS.md.
$(BUILD)/tests/fuzz: $(BUILD)/tests/fuzz_main.o \
  $(BUILD)/tests/fuzz_parsers.o $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) -fsanitize=fuzzer $^ -o $@ $(PKG_LIBS)

$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS) -lcunit

tests: $(TESTS) $(BUILD)/tests/soak

clean:
	rm -rf build config.mk

.PHONY: all clean tests
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2> /dev/null)
