#include "tests/soak/soak_writer.h"

#include "bw_core/random/stable_hash.h"
#include "bw_emulator/store/odd_values.h"

using namespace bw;
using namespace bw::soak;
using namespace std::chrono_literals;

namespace {

constexpr duration WriteGap = 400ms;
constexpr std::uint64_t MaxSize = 1'000'000;
constexpr std::uint64_t Names = 6;
constexpr const char *Kinds[] = {"servers", "config", "bramleywinch-hosts"};

} // namespace

void soak_writer::plan(time_point First, time_point Last) {
  std::uint64_t Number = 0;
  for (time_point When = First; When < Last; When += WriteGap)
    Course.at(When, [this, Number = ++Number] { write(Number); });
}

// Draws no random numbers, as the course of a seed must stay what it was.
void soak_writer::write(std::uint64_t Number) {
  std::uint64_t Draw = mixHash(Course.Options.Seed ^ 0x6f6464, Number);
  const auto Next = [&Draw](std::uint64_t Count) {
    const std::uint64_t Result = Draw % Count;
    Draw /= Count;
    return Result;
  };
  const odd_shape Shape = OddShapes[Next(OddShapes.size())];
  const std::string Kind = Kinds[Next(std::size(Kinds))];
  const std::string Name = "another-" + std::to_string(Next(Names));
  const byte_count Size(1 + Next(MaxSize));
  Course.note("another writer: " + Kind + " " + Name + ", " +
              std::string(nameOf(Shape)) + ", " + std::to_string(Size.value()) +
              " bytes");
  Store.writeObject(Kind, Name, makeOddValue(Shape, Size));
  ++Writes;
}
