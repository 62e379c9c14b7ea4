// The one translation unit that holds easylogging++'s own code.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
