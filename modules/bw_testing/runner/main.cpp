// Runs the registered CppUnit tests of one program. Arguments select tests
// whose name contains one of them. Closes with one line
// `N passed, N failed`; tests listed in KNOWN-RED.txt are run and reported,
// but do not decide the exit code.

#include "bw_testing/runner/test_seed.h"

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

class progress_listener : public CppUnit::TestListener {
public:
  explicit progress_listener(std::set<std::string> KnownRed)
      : KnownRed(std::move(KnownRed)) {}

  void startTest(CppUnit::Test *Test) override {
    Failed = false;
    std::cout << "run   " << Test->getName() << std::endl;
  }

  void addFailure(const CppUnit::TestFailure &Failure) override {
    Failed = true;
    std::cout << "  " << Failure.sourceLine().fileName() << ":"
              << Failure.sourceLine().lineNumber() << ": "
              << Failure.thrownException()->what() << std::endl;
  }

  void endTest(CppUnit::Test *Test) override {
    const bool Known = KnownRed.contains(Test->getName());
    if (!Failed) {
      ++PassedCount;
      if (Known)
        std::cout << "known red, but passed: " << Test->getName() << "\n";
      return;
    }
    if (Known) {
      ++KnownRedCount;
      std::cout << "known red: " << Test->getName() << "\n";
      return;
    }
    ++FailedCount;
    std::cout << "FAILED " << Test->getName() << "\n";
  }

  int passedCount() const { return PassedCount; }
  int failedCount() const { return FailedCount; }
  int knownRedCount() const { return KnownRedCount; }

private:
  std::set<std::string> KnownRed;
  bool Failed = false;
  int PassedCount = 0;
  int FailedCount = 0;
  int KnownRedCount = 0;
};

// Entries of KNOWN-RED.txt name their test in a line `test: <name>`.
std::set<std::string> readKnownRed() {
  std::set<std::string> Names;
  const char *Path = std::getenv("BW_KNOWN_RED");
  if (Path == nullptr)
    return Names;
  std::ifstream File(Path);
  const std::string Prefix = "test: ";
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Prefix))
      Names.insert(Line.substr(Prefix.size()));
  return Names;
}

bool isSelected(const std::string &Name,
                const std::vector<std::string> &Filters) {
  if (Filters.empty())
    return true;
  for (const std::string &Filter : Filters)
    if (Name.find(Filter) != std::string::npos)
      return true;
  return false;
}

void runSelected(CppUnit::Test &Test, CppUnit::TestResult &Result,
                 const std::vector<std::string> &Filters) {
  if (Test.getChildTestCount() == 0) {
    if (isSelected(Test.getName(), Filters))
      Test.run(&Result);
    return;
  }
  for (int Index = 0; Index < Test.getChildTestCount(); ++Index)
    runSelected(*Test.getChildTestAt(Index), Result, Filters);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const std::vector<std::string> Filters(Arguments + 1,
                                         Arguments + ArgumentCount);
  std::cout << "seed " << bw::testSeed() << std::endl;
  std::unique_ptr<CppUnit::Test> Suite(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::TestResult Result;
  progress_listener Listener(readKnownRed());
  Result.addListener(&Listener);
  runSelected(*Suite, Result, Filters);
  if (Listener.knownRedCount() > 0)
    std::cout << "known red tests: " << Listener.knownRedCount() << "\n";
  std::cout << Listener.passedCount() << " passed, " << Listener.failedCount()
            << " failed" << std::endl;
  return Listener.failedCount() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
