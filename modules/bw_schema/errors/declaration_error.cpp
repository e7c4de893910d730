#include "bw_schema/errors/declaration_error.h"

using namespace bw;

namespace {

std::string joinLines(const std::vector<field_fault> &Faults) {
  std::string Result;
  for (const field_fault &Fault : Faults)
    Result += (Result.empty() ? "" : "\n") + Fault.text();
  return Result;
}

} // namespace

declaration_error::declaration_error(std::vector<field_fault> Faults)
    : error(joinLines(Faults)), Faults(std::move(Faults)) {}
