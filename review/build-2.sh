#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, under target/.
# The deploy file's build, which makes ibisloomd, has to run before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# shellcheck disable=SC2046
"${CC:-cc}" -std=gnu11 -O2 -g -Wall -Wextra -Werror \
  $(pkg-config --cflags glib-2.0 jansson) review/standins-2/*.c \
  -o target/review-2/standin $(pkg-config --libs glib-2.0 jansson) -lpthread
