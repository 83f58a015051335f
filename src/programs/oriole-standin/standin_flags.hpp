// Flags that every mode of the stand-in shares.

#ifndef ORIOLEGRADE_PROGRAMS_STANDIN_FLAGS_HPP
#define ORIOLEGRADE_PROGRAMS_STANDIN_FLAGS_HPP

#include <gflags/gflags.h>

DECLARE_string(listen);
DECLARE_string(name);

#endif
