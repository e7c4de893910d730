#include "bw_stand_ins/relay/relay_command.h"

#include <cmath>
#include <sstream>
#include <string>
#include <vector>

using namespace bw;

const char *const bw::RelayCommandHelp =
    R"(Commands of the control port, one a line; the answer is `ok`, `error <text>`
or the status. DIRECTION is `up` (towards --connect), `down` or `both`.
  DIRECTION delay MS [VARIATION_MS]   delay, plus 0 to VARIATION_MS
  DIRECTION stall PROBABILITY [MS]    hold a 1,460-byte segment up, 200 ms
  DIRECTION cut PROBABILITY           reset at a segment
  DIRECTION silent on|off             hold everything back
  DIRECTION rate BYTES                bytes a second; 0 for no limit
  DIRECTION cut-after BYTES|off       reset a connection after so many bytes
  half-open   take and drop all data of the connections that exist now, for
              good; new connections work
  cut         reset the connections that exist now
  clear       end all faults of both directions
  status      connections and bytes as one line of key=value
)";

namespace {

using words = std::vector<std::string>;

words split(std::string_view Line) {
  std::istringstream In{std::string(Line)};
  words Result;
  for (std::string Word; In >> Word;)
    Result.push_back(Word);
  return Result;
}

double number(const std::string &Word) {
  std::size_t Used = 0;
  double Result = -1;
  try {
    Result = std::stod(Word, &Used);
  } catch (const std::logic_error &) {
    Used = 0;
  }
  // The upper bound keeps durations in nanoseconds within their type.
  if (Used != Word.size() || !std::isfinite(Result) || Result < 0 ||
      Result > 1e9)
    throw relay_command_error("not a number from 0 to 1e9: " + Word);
  return Result;
}

double probability(const std::string &Word) {
  const double Result = number(Word);
  if (Result > 1)
    throw relay_command_error("not a probability: " + Word);
  return Result;
}

duration milliseconds(const std::string &Word) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(number(Word)));
}

bool isOn(const std::string &Word) {
  if (Word != "on" && Word != "off")
    throw relay_command_error("expected on or off, found " + Word);
  return Word == "on";
}

void applyFault(const std::string &Name, const words &Values,
                direction_faults &Faults) {
  const std::string &First = Values.front();
  const bool HasSecond = Values.size() > 1;
  if (Name == "delay") {
    Faults.Delay = milliseconds(First);
    Faults.Variation = HasSecond ? milliseconds(Values[1]) : duration{};
  } else if (Name == "stall") {
    Faults.StallProbability = probability(First);
    if (HasSecond)
      Faults.StallTime = milliseconds(Values[1]);
  } else if (HasSecond) {
    throw relay_command_error("too many values");
  } else if (Name == "cut") {
    Faults.CutProbability = probability(First);
  } else if (Name == "silent") {
    Faults.Silent = isOn(First);
  } else if (Name == "rate") {
    Faults.Rate = static_cast<std::uint64_t>(number(First));
  } else if (Name == "cut-after") {
    Faults.CutAfter.reset();
    if (First != "off")
      Faults.CutAfter = static_cast<std::uint64_t>(number(First));
  } else {
    throw relay_command_error("unknown fault: " + Name);
  }
}

void applyDirection(const words &Words, relay_faults &Faults) {
  const std::string &Direction = Words.front();
  if (Direction != "up" && Direction != "down" && Direction != "both")
    throw relay_command_error("unknown command: " + Direction);
  if (Words.size() < 3 || Words.size() > 4)
    throw relay_command_error("expected a direction, a fault and its values");
  const words Values(Words.begin() + 2, Words.end());
  relay_faults Changed = Faults;
  if (Direction != "down")
    applyFault(Words[1], Values, Changed.Up);
  if (Direction != "up")
    applyFault(Words[1], Values, Changed.Down);
  Faults = Changed;
}

} // namespace

relay_action bw::applyRelayCommand(std::string_view Line,
                                   relay_faults &Faults) {
  const words Words = split(Line);
  if (Words.empty())
    throw relay_command_error("empty line");
  if (Words.size() > 1) {
    applyDirection(Words, Faults);
    return relay_action::SetFaults;
  }
  const std::string &Only = Words.front();
  if (Only == "half-open")
    return relay_action::HalfOpen;
  if (Only == "cut")
    return relay_action::Cut;
  if (Only == "status")
    return relay_action::Status;
  if (Only != "clear")
    throw relay_command_error("unknown command: " + Only);
  Faults = relay_faults();
  return relay_action::SetFaults;
}
