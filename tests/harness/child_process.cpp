#include "tests/harness/child_process.h"

#include "tests/harness/child_registry.h"
#include "tests/harness/harness_error.h"
#include "tests/harness/wait_until.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace bw::harness;

namespace {

// The attributes and actions are C structures that need a matching end.
struct spawn_set_up {
  spawn_set_up() {
    posix_spawn_file_actions_init(&Files);
    posix_spawnattr_init(&Attributes);
  }
  ~spawn_set_up() {
    posix_spawn_file_actions_destroy(&Files);
    posix_spawnattr_destroy(&Attributes);
  }
  spawn_set_up(const spawn_set_up &) = delete;
  spawn_set_up &operator=(const spawn_set_up &) = delete;

  posix_spawn_file_actions_t Files;
  posix_spawnattr_t Attributes;
};

std::string newOutputFile(const std::string &Program) {
  std::string Path =
      (std::filesystem::temp_directory_path() / (Program + "-XXXXXX")).string();
  const int Descriptor = ::mkstemp(Path.data());
  if (Descriptor < 0)
    throw harness_error("cannot create a file for the output of " + Program);
  ::close(Descriptor);
  return Path;
}

} // namespace

child_process::child_process(const std::string &Program,
                             const std::vector<std::string> &Arguments)
    : Name(Program), OutputPath(newOutputFile(Program)) {
  spawn(Program, Arguments);
  addChild(Id);
}

child_process::~child_process() {
  signal(SIGKILL);
  waitForEnd();
  std::error_code Ignored;
  std::filesystem::remove(OutputPath, Ignored);
}

void child_process::spawn(const std::string &Program,
                          const std::vector<std::string> &Arguments) {
  const std::string Path = BW_PROGRAM_DIRECTORY "/" + Program;
  std::vector<char *> Pointers{const_cast<char *>(Path.c_str())};
  for (const std::string &Argument : Arguments)
    Pointers.push_back(const_cast<char *>(Argument.c_str()));
  Pointers.push_back(nullptr);
  spawn_set_up SetUp;
  posix_spawn_file_actions_addopen(&SetUp.Files, STDOUT_FILENO,
                                   OutputPath.c_str(), O_WRONLY | O_APPEND, 0);
  posix_spawn_file_actions_adddup2(&SetUp.Files, STDOUT_FILENO, STDERR_FILENO);
  const int Fault = posix_spawn(&Id, Path.c_str(), &SetUp.Files,
                                &SetUp.Attributes, Pointers.data(), environ);
  if (Fault != 0)
    throw harness_error("cannot start " + Path);
}

void child_process::signal(int Signal) const {
  // The id of an ended child may belong to another process by now.
  if (!Status)
    ::kill(Id, Signal);
}

void child_process::pause() {
  signal(SIGSTOP);
  int Found = 0;
  if (!isRunning() || ::waitpid(Id, &Found, WUNTRACED) != Id)
    throw harness_error(Name + " cannot be paused");
  if (WIFSTOPPED(Found))
    return;
  Status = Found;
  removeChild(Id);
  throw harness_error(Name + " ended in place of pausing");
}

void child_process::resume() const { signal(SIGCONT); }

bool child_process::isRunning() {
  if (Status)
    return false;
  int Found = 0;
  if (::waitpid(Id, &Found, WNOHANG) == 0)
    return true;
  Status = Found;
  removeChild(Id);
  return false;
}

std::optional<int> child_process::waitForEnd(std::chrono::milliseconds Limit) {
  waitUntil([this] { return !isRunning(); }, Limit);
  return Status;
}

bw::byte_count child_process::residentMemory() const {
  std::ifstream File("/proc/" + std::to_string(Id) + "/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  File >> Total >> Resident;
  return bw::byte_count(Resident * std::uint64_t(::sysconf(_SC_PAGESIZE)));
}

bw::byte_count child_process::peakMemory() const {
  std::ifstream File("/proc/" + std::to_string(Id) + "/status");
  const std::string Key = "VmHWM:";
  for (std::string Word; File >> Word;)
    if (Word == Key) {
      std::uint64_t Kibibytes = 0;
      File >> Kibibytes;
      return bw::kibibytes(Kibibytes);
    }
  return {};
}

std::chrono::milliseconds child_process::processorTime() const {
  std::ifstream File("/proc/" + std::to_string(Id) + "/stat");
  std::string Line;
  std::getline(File, Line);
  // The name of the program, in brackets, may hold blanks.
  std::istringstream Fields(
      Line.substr(std::min(Line.rfind(')'), Line.size())));
  // User and system time are the fields 14 and 15; the name is the second.
  constexpr int FieldsBefore = 12;
  std::string Skipped;
  for (int Field = 0; Field < FieldsBefore; ++Field)
    Fields >> Skipped;
  long long User = 0;
  long long System = 0;
  Fields >> User >> System;
  return std::chrono::milliseconds((User + System) * 1000 /
                                   ::sysconf(_SC_CLK_TCK));
}

std::size_t child_process::openDescriptors() const {
  std::error_code Ignored;
  const std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Id) + "/fd", Ignored);
  return std::size_t(std::distance(begin(Files), end(Files)));
}

std::string child_process::output() const {
  std::ifstream File(OutputPath);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string child_process::waitForValue(const std::string &Key) {
  std::string Value;
  const auto Find = [&] {
    std::istringstream Lines(output());
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.starts_with(Key + " ")) {
        Value = Line.substr(Key.size() + 1);
        return true;
      }
    return !isRunning();
  };
  waitUntil(Find);
  if (Value.empty())
    throw harness_error(Name + " did not print " + Key + ": " + output());
  return Value;
}
