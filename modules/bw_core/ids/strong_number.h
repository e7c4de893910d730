#ifndef BW_CORE_IDS_STRONG_NUMBER_H
#define BW_CORE_IDS_STRONG_NUMBER_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace bw {

/// A number with a meaning: a sequence, a version or a quantity with a unit.
/// Numbers with different tags do not convert into each other.
template <typename Tag, typename Rep = std::uint64_t> class strong_number {
public:
  using representation = Rep;

  constexpr strong_number() = default;
  constexpr explicit strong_number(Rep Number) : Number(Number) {}

  constexpr Rep value() const { return Number; }

  constexpr strong_number &operator+=(strong_number Other) {
    Number += Other.Number;
    return *this;
  }
  constexpr strong_number &operator-=(strong_number Other) {
    Number -= Other.Number;
    return *this;
  }
  friend constexpr strong_number operator+(strong_number Left,
                                           strong_number Right) {
    return Left += Right;
  }
  friend constexpr strong_number operator-(strong_number Left,
                                           strong_number Right) {
    return Left -= Right;
  }
  constexpr strong_number next() const { return strong_number(Number + 1); }

  friend constexpr auto operator<=>(const strong_number &,
                                    const strong_number &) = default;
  friend std::ostream &operator<<(std::ostream &Out, strong_number Value) {
    return Out << Value.Number;
  }

private:
  Rep Number{};
};

} // namespace bw

template <typename Tag, typename Rep>
struct std::hash<bw::strong_number<Tag, Rep>> {
  std::size_t operator()(bw::strong_number<Tag, Rep> Value) const {
    return std::hash<Rep>()(Value.value());
  }
};

#endif
