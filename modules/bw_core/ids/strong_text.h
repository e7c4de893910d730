#ifndef BW_CORE_IDS_STRONG_TEXT_H
#define BW_CORE_IDS_STRONG_TEXT_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bw {

/// A text identifier. Identifiers with different tags do not convert into each
/// other. A default-constructed identifier is empty.
template <typename Tag> class strong_text {
public:
  strong_text() = default;
  explicit strong_text(std::string Text) : Text(std::move(Text)) {}

  const std::string &value() const { return Text; }
  bool empty() const { return Text.empty(); }

  friend auto operator<=>(const strong_text &, const strong_text &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const strong_text &Id) {
    return Out << Id.Text;
  }

private:
  std::string Text;
};

} // namespace bw

template <typename Tag> struct std::hash<bw::strong_text<Tag>> {
  std::size_t operator()(const bw::strong_text<Tag> &Id) const {
    return std::hash<std::string>()(Id.value());
  }
};

#endif
