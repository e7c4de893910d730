#include "bw_kernel/settings/settings_error.h"

using namespace bw;

settings_error::settings_error(std::string File, int Line, std::string Key,
                               std::string Reason)
    : error(File + ":" + std::to_string(Line) + ": " + Key + ": " + Reason),
      File(std::move(File)), Line(Line), Key(std::move(Key)),
      Reason(std::move(Reason)) {}
