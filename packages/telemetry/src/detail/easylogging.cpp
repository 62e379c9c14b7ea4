// Compiles the implementation of easylogging++, which must be in exactly one translation unit.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
