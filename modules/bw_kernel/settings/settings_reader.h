#ifndef BW_KERNEL_SETTINGS_SETTINGS_READER_H
#define BW_KERNEL_SETTINGS_SETTINGS_READER_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_kernel/settings/settings_error.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bw {

template <typename Value> struct value_range {
  Value Least;
  Value Most;
};

/// Reads one mapping of a YAML settings file with checked ranges. Keys that
/// nobody asked for are refused by `finish`. All functions throw
/// settings_error with file, line and key.
class settings_reader {
public:
  /// The root mapping of a file.
  static settings_reader fromFile(const std::filesystem::path &Path);
  /// The root mapping of a text; `Name` stands for the file in errors.
  static settings_reader fromText(const std::string &Text,
                                  const std::string &Name);

  settings_reader(settings_reader &&) noexcept;
  ~settings_reader();

  /// A text; required when there is no default.
  std::string text(const std::string &Key,
                   std::optional<std::string> Default = std::nullopt);
  std::int64_t integer(const std::string &Key, value_range<std::int64_t> Range,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(const std::string &Key, value_range<double> Range,
                std::optional<double> Default = std::nullopt);
  bool boolean(const std::string &Key,
               std::optional<bool> Default = std::nullopt);
  /// A duration given in whole milliseconds; such keys end in `_ms`.
  std::chrono::milliseconds
  milliseconds(const std::string &Key,
               value_range<std::chrono::milliseconds> Range,
               std::optional<std::chrono::milliseconds> Default = std::nullopt);
  std::vector<std::string> texts(const std::string &Key);
  /// A nested mapping; an absent one reads as empty.
  settings_reader section(const std::string &Key);
  /// A list of mappings; an absent one reads as empty.
  std::vector<settings_reader> sections(const std::string &Key);

  /// Fails for the key with a reason of the reader's user.
  [[noreturn]] void fail(const std::string &Key, const std::string &Reason);

  /// Refuses keys of this mapping that were never read or stand twice.
  void finish() const;

private:
  struct state;
  explicit settings_reader(std::unique_ptr<state> State);
  std::optional<std::string> scalar(const std::string &Key, bool IsRequired);

  std::unique_ptr<state> State;
};

} // namespace bw

#endif
