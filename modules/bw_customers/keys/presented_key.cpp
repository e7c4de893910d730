#include "bw_customers/keys/presented_key.h"

std::string_view bw::presenceName(key_presence Presence) {
  switch (Presence) {
  case key_presence::Absent:
    return "absent";
  case key_presence::Present:
    return "present";
  case key_presence::Repeated:
    return "repeated";
  case key_presence::OtherScheme:
    return "other_scheme";
  case key_presence::Empty:
    return "empty";
  case key_presence::TooLong:
    return "too_long";
  }
  return "";
}
