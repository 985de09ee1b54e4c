cmake_minimum_required(VERSION 3.25)

# Writes the current commit to a header, and leaves the file alone if nothing changed.
execute_process(COMMAND git -C ${SOURCE} describe --always --dirty --abbrev=12
  OUTPUT_VARIABLE COMMIT OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
file(CONFIGURE OUTPUT ${OUTPUT} CONTENT "#pragma once\n#define CHICORYDOCK_COMMIT \"@COMMIT@\"\n" @ONLY)
