# Rules for the cases of the review; see build.sh.
include Makefile

PKG_CFLAGS += -Itests -Ireview/common
REVIEW_COMMON = $(patsubst %.c,$(BUILD)/%.o,$(wildcard review/common/*.c))
REVIEW_CASES = $(patsubst review/%/case.c,$(BUILD)/review/%/case,\
  $(wildcard review/*/case.c))

$(REVIEW_CASES): $(BUILD)/review/%/case: $(BUILD)/review/%/case.o \
  $(REVIEW_COMMON) $(FIXTURES) $(BUILD)/libibisloom.a
	$(CC) $(CFLAGS) $(EXTRA) $^ -o $@ $(PKG_LIBS)

review: $(BUILD)/ibisloomd $(REVIEW_CASES)

.PHONY: review
