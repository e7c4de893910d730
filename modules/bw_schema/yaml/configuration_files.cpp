#include "bw_schema/yaml/configuration_files.h"

#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/yaml/yaml_reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace bw;

namespace {

[[noreturn]] void fail(const std::string &File, const std::string &Reason) {
  throw declaration_error(
      {{.File = File, .Line = 0, .Field = "(file)", .Reason = Reason}});
}

std::string readFile(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  if (!File || std::filesystem::is_directory(Path))
    fail(Path.string(), "cannot be read");
  Text << File.rdbuf();
  return Text.str();
}

bool isYamlName(const std::filesystem::path &Path) {
  return Path.extension() == ".yaml" || Path.extension() == ".yml";
}

std::vector<std::filesystem::path>
listFiles(const std::filesystem::path &Directory) {
  std::vector<std::filesystem::path> Result;
  for (const auto &Entry : std::filesystem::directory_iterator(Directory))
    if (Entry.is_regular_file() && isYamlName(Entry.path()))
      Result.push_back(Entry.path());
  std::sort(Result.begin(), Result.end());
  return Result;
}

// Number of entries that a list of the joined configuration already has.
int offsetOf(const schema::configuration &Joined, std::string_view List) {
  if (List == "services")
    return Joined.services_size();
  if (List == "routes")
    return Joined.routes_size();
  if (List == "callers")
    return Joined.callers_size();
  return Joined.orders_size();
}

// Path in the joined configuration of a path in the next file.
std::string joinedPath(const schema::configuration &Joined,
                       const std::string &Path) {
  const std::size_t Open = Path.find('[');
  if (Open == std::string::npos)
    return Path;
  const std::size_t Close = Path.find(']', Open);
  const int Index = std::stoi(Path.substr(Open + 1, Close - Open - 1));
  const int Offset = offsetOf(Joined, Path.substr(0, Open));
  return Path.substr(0, Open + 1) + std::to_string(Index + Offset) +
         Path.substr(Close);
}

void checkVersionOnce(const schema::configuration &Joined,
                      const schema::configuration &Next,
                      const field_locations &Locations) {
  if (Joined.version() == 0 || Next.version() == 0)
    return;
  field_fault Fault{.File = "",
                    .Line = 0,
                    .Field = "version",
                    .Reason = "is stated by another file already"};
  Locations.locate(Fault);
  throw declaration_error({Fault});
}

} // namespace

declared_configuration
bw::readConfigurationTexts(const std::vector<named_text> &Texts) {
  declared_configuration Result;
  for (const auto &[Name, Text] : Texts) {
    schema::configuration Next;
    field_locations Locations;
    parseYaml(Text, Name, Next, Locations);
    checkVersionOnce(Result.Message, Next, Locations);
    for (const auto &[Path, Location] : Locations.all())
      Result.Locations.add(joinedPath(Result.Message, Path), Location);
    Result.Message.MergeFrom(Next);
  }
  return Result;
}

declared_configuration
bw::readConfigurationFiles(const std::filesystem::path &Path) {
  std::vector<std::filesystem::path> Paths = {Path};
  if (std::filesystem::is_directory(Path))
    Paths = listFiles(Path);
  if (Paths.empty())
    fail(Path.string(), "holds no .yaml or .yml file");
  std::vector<named_text> Texts;
  Texts.reserve(Paths.size());
  for (const std::filesystem::path &Each : Paths)
    Texts.emplace_back(Each.string(), readFile(Each));
  return readConfigurationTexts(Texts);
}
