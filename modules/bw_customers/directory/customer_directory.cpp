#include "bw_customers/directory/customer_directory.h"

#include <algorithm>

using namespace bw;

namespace {

// Servers get the name as the value of a header field.
bool isUsable(const std::string &Name) {
  constexpr unsigned char Delete = 0x7f;
  return !Name.empty() && Name.front() != ' ' && Name.back() != ' ' &&
         std::none_of(Name.begin(), Name.end(), [](unsigned char Each) {
           return Each < ' ' || Each == Delete;
         });
}

} // namespace

customer_directory::customer_directory(std::vector<customer> Given)
    : Customers(std::move(Given)) {
  for (std::size_t Index = 0; Index < Customers.size(); ++Index) {
    const customer &Each = Customers[Index];
    if (!isUsable(Each.Name.value()))
      throw customer_name_error(Each.Name);
    if (!ByName.emplace(Each.Name, Index).second)
      throw customer_conflict_error(Each.Name,
                                    customer_conflict_error::kind::Name);
    for (const key_digest &Key : Each.Keys) {
      const auto [Found, IsNew] = ByKey.emplace(Key, Index);
      if (!IsNew && Found->second != Index)
        throw customer_conflict_error(Each.Name,
                                      customer_conflict_error::kind::Key);
    }
  }
}

const customer *customer_directory::find(const key_digest &Key) const {
  const auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : &Customers[Found->second];
}

const customer *customer_directory::find(const customer_id &Name) const {
  const auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : &Customers[Found->second];
}
